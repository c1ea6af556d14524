#pragma once

#include "core/storeversion.h"
#include "core/time.h"
#include "pool/poolids.h"
#include "ratelimit/ratedecision.h"
#include "ratelimit/rategrantor.h"
#include "ratelimit/rateranks.h"
#include "ratelimit/raterequest.h"
#include "ratelimit/ratespender.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace Jujubekeel {

class LinkSystem;
class MemberView;
struct CompletedExchange;
struct PoolWorld;
struct SessionRow;

/// Applies the rate limits of organisations: takes a granted operation for each operation of a caller of this instance,
/// sends the requests for them to members over one link to each, and answers the requests of other instances if this
/// one is a member. Owned by PoolCore.
class RateLimitSystem final
{
public:
    /// Reports the decision about an operation that had to wait.
    using Decided = std::function<void(SessionId session, const RateDecision &decision)>;

    RateLimitSystem(PoolWorld &poolWorld, LinkSystem &linkSystem, Decided onDecision);

    /// \a processIncarnation is that of this instance's registration.
    void start(std::uint64_t processIncarnation);
    /// Whether the operations of the session's callers are limited.
    [[nodiscard]] static bool isLimited(const SessionRow &session);
    /// Decides about a new operation of a limited session. If it has to wait, the decision is reported later.
    [[nodiscard]] RateDecision admit(SessionId session);
    /// The operation of the session has ended without having run, so that another one may run in its place.
    void giveBack(const SessionRow &session);
    /// The session no longer waits for a decision.
    void removeWaiting(SessionId session, std::string_view organisation);

    /// Request of another instance for operations: \a wanted is a number.
    void requestReceived(SessionId session, std::string_view organisation, std::string_view wanted);
    /// A member has answered a request.
    void answerReceived(LinkId link, const CompletedExchange &completed);
    /// A link was lost; requests on it get no answer.
    void linkEnded();
    /// Limits may have changed.
    void organisationsChanged();
    /// The members of the fleet may have changed.
    void membersChanged(const MemberView &view);
    /// Requests and waiting operations whose time is over.
    void checkTimeouts();
    /// Must be called before overdue timers are handled: they show that this process was suspended.
    void checkSuspension();

private:
    struct Waiting
    {
        SessionId session;
        TimePoint deadline{0};
    };
    struct Outstanding
    {
        RateRequest request;
        LinkId link;
        TimePoint deadline{0};
        bool expired = false;        ///< reported as unanswered; a late answer still counts
        std::string confirming = {}; ///< member that is asked to confirm a change; empty: `request` is sent
    };

    void sendRequests();
    /// Sends a request, or reports that it cannot be answered.
    void sendRequest(const RateRequest &request);
    /// Asks the members that have not confirmed the last change of the members, if a share of this one depends on it.
    void requestConfirmations();
    void confirmationReceived(const std::string &member, std::string_view answer);
    /// The request has ended without an answer.
    void reportUnanswered(const Outstanding &entry);
    /// The link for requests to a member, opened if there is none; invalid if that is not possible at present.
    [[nodiscard]] LinkId requestLink(const std::string &member);
    /// Reports decisions about operations that waited for the organisation's requests.
    void decideWaiting(const std::string &organisation);
    void decideAnswered();
    /// Reports requests whose time is over as unanswered, and closes links that are silent for too long.
    void expireRequests();
    /// Refuses operations that have waited for too long.
    void refuseLate();
    /// Arms the timer for the requests and operations that are left.
    void armNextTimeout();
    void count(const RateDecision &decision);
    void armTimer(TimePoint due);

    PoolWorld &world;
    LinkSystem &links;
    Decided decided;
    RateGrantor grantor;
    RateSpender spender;
    RateRanks ranks;
    RateMember self;
    std::vector<RateMember> members;                                 ///< that serve, as last seen
    std::map<std::string, std::deque<Waiting>, std::less<>> waiting; ///< by organisation, in order of arrival
    std::map<std::string, LinkId, std::less<>> linkOf;               ///< by member
    std::map<std::uint64_t, std::deque<Outstanding>> outstanding;    ///< by packed link, in the order of sending
    std::vector<std::string> answered; ///< organisations whose waiting operations have to be decided
    std::optional<TimePoint> timerDue;
    StoreVersion membersVersion;       ///< of the view of the members
    StoreVersion joinedVersion;        ///< of the last registration of a member that joined
    std::set<std::string> unconfirmed; ///< members that may not know of it
    std::set<std::string> confirming;  ///< members that are being asked
    TimePoint confirmAgainAt{0};       ///< they are asked again then
    TimePoint resumedAt{0};            ///< when a suspension was last noticed
    std::uint64_t incarnation = 0;     ///< of this process
};

} // namespace Jujubekeel
