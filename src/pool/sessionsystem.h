#pragma once

#include "core/time.h"
#include "organisations/keydigest.h"
#include "pool/poolids.h"
#include "pool/poolmessages.h"
#include "pool/statement.h"

#include <cstddef>
#include <optional>
#include <string>

namespace Jujubekeel {

class AdmissionSystem;
class DispatchSystem;
class FeedPublisher;
class OrganisationSystem;
class RateLimitSystem;
class SessionReplies;
struct PoolWorld;
struct RateDecision;
struct SessionRow;

/// Handles callers' sessions: opens them, runs their statements one after the other, replies to those that need no
/// backend server and hands the others to AdmissionSystem.
/// Owned by PoolCore.
class SessionSystem final
{
public:
    SessionSystem(PoolWorld &poolWorld, DispatchSystem &dispatchSystem, FeedPublisher &feedPublisher,
                  RateLimitSystem &rateLimitSystem, SessionReplies &sessionReplies,
                  OrganisationSystem &organisationSystem, AdmissionSystem &admissionSystem)
        : world(poolWorld), dispatch(dispatchSystem), feed(feedPublisher), rateLimits(rateLimitSystem),
          replies(sessionReplies), organisations(organisationSystem), admission(admissionSystem)
    {
    }

    /// Opens a caller's session on a database, or refuses it.
    void open(SessionId session, const std::string &database, const std::optional<KeyDigest> &key);
    /// Opens a session for work that another instance relays. Refuses it if \a expected is not this instance.
    void openRelayed(SessionId session, const std::string &expected);
    /// Opens the sessions that were waiting for the first configuration.
    void routesReceived();
    /// Refuses a session that has waited too long for the first configuration.
    void checkOpening(SessionId session);
    /// Runs a statement, or keeps it until the reply to the one before.
    void run(SessionId session, Statement statement);
    /// While a caller does not read its replies, its further statements wait.
    void setRepliesUnread(SessionId session, bool unread);
    /// The pending work of a session is complete: sends \a reply and starts the next statement.
    void finished(SessionId session, CallerReply reply);
    /// The limit of the organisation allows the operation that waits for it, or refuses it.
    void rateDecided(SessionId session, const RateDecision &decision);
    /// Rolls back the session's transaction if it has been idle for too long.
    void checkIdleTransaction(SessionId session);
    /// Planned stop: closes sessions without a statement in progress; those with an open transaction only if
    /// \a endTransactions is set.
    void closeIdle(bool endTransactions);

private:
    void runNext(SessionId session);
    /// Replies to a statement, or makes it the session's pending work.
    void start(SessionId session, Statement statement);
    /// Counts what a value or a prepared statement adds to the session in place of \a replaced bytes. Refuses the
    /// statement and returns false if the session would hold too much.
    [[nodiscard]] bool makeRoom(SessionId session, const Statement &statement, std::size_t replaced);
    /// Sets the route and mark of a relayed session; closes the session if they are invalid.
    void useRoute(SessionId session, const Statement &statement);
    /// Failure domain of the primary that the session's route leads to; empty if it is unknown or callers need no key.
    [[nodiscard]] std::string primaryDomain(const SessionRow &session) const;
    /// Rolls back the open transaction on its server. Refuses and returns false if there is none.
    bool endTransaction(SessionId session);
    void rollBack(SessionId session);
    /// COMMIT of a transaction that has failed: rolls it back and replies with Aborted.
    void commitWithoutServer(SessionId session);
    [[nodiscard]] Duration transactionIdleLimit() const;

    PoolWorld &world;
    DispatchSystem &dispatch;
    FeedPublisher &feed;
    RateLimitSystem &rateLimits;
    SessionReplies &replies;
    OrganisationSystem &organisations;
    AdmissionSystem &admission;
};

} // namespace Jujubekeel
