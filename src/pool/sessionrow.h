#pragma once

#include "catalog/route.h"
#include "core/time.h"
#include "organisations/keydigest.h"
#include "organisations/organisation.h"
#include "pool/poolids.h"
#include "pool/poolmessages.h"
#include "pool/statement.h"

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Jujubekeel {

struct PreparedStatement
{
    bool writes = false;
    std::string text; ///< without the parameters that EXECUTE adds
};

/// A statement that needs a backend server, from its arrival until its reply. Part of SessionRow.
struct PendingWork
{
    Statement statement;
    TimePoint arrivedAt{0};
    TimePoint deadline{0};     ///< refused if it is still queued, or its result still withheld, by then
    TimePoint consistentAt{0}; ///< commits acknowledged until then must be visible
    bool needsPrimary = false;
    bool writes = false;    ///< the statement is a write
    ServiceId queue;        ///< service in whose queue it is; invalid: not queued
    bool beginSent = false; ///< the response to Begin is outstanding
    bool sent = false;      ///< sent to a server at least once
    TimePoint sentAt{0};    ///< when it was last sent
    std::string server;     ///< id of the server to which it was last sent; a member if the work is relayed
    std::uint32_t attempts = 0;
    bool hasFailed = false;                      ///< a server has answered with Failed
    std::vector<ServerId> excluded;              ///< servers that have refused it or were lost
    std::optional<OutcomeError> lastError;       ///< of the last attempt
    std::optional<LogPosition> requiredPosition; ///< that the last server had to hold; empty: none was required
    std::optional<CallerReply> withheld;         ///< result that waits for verification of leadership
    TimePoint answeredAt{0};                     ///< when the withheld result arrived

    [[nodiscard]] bool isQueued() const { return this->queue.isValid(); }
};

/// An open transaction of a session.
struct TransactionState
{
    bool readOnly = false;
    bool wrote = false;           ///< a write has been sent
    bool hasRun = false;          ///< a statement of it has been answered with success
    bool lost = false;            ///< it has ended on the backend server; the caller has to end it too
    bool needsLeadership = false; ///< its results count only if the primary's leadership is verified
    LinkId link;                  ///< invalid until the first statement
    TimePoint startedAt{0};
    TimePoint lastActiveAt{0};
};

/// Session of one caller, or of another instance that relays work. Written by SessionSystem,
/// OrganisationSystem, AdmissionSystem, SessionReplies, DispatchSystem and ResultSystem.
struct SessionRow
{
    std::string database;
    bool relayed = false;         ///< opened by another instance, which sends the route with the work
    bool awaitsRoutes = false;    ///< opened before the first configuration was received; not greeted yet
    std::optional<KeyDigest> key; ///< of the caller; empty: it sent none, or the work is relayed
    std::shared_ptr<const Organisation> organisation; ///< in whose name the work runs; null: none
    bool organisationUnknown = false; ///< relayed: the configuration does not contain it, so nothing may run
    bool keyWithdrawn = false;        ///< the session ends when the statement under way has been answered
    SessionState state = SessionState::Idle;
    std::shared_ptr<const Route> route; ///< of the current transaction or statement
    std::optional<TransactionState> transaction;
    std::optional<PendingWork> work;
    std::optional<Statement> limited; ///< operation that waits for the limit of its organisation
    bool isAdmitted = false;          ///< the operation that is being started has passed that limit
    std::deque<Statement> backlog;    ///< statements received before the reply to an earlier one
    std::size_t backlogBytes = 0;     ///< size of their texts
    bool repliesUnread = false;       ///< the caller does not read its replies: no further statement is started

    std::map<std::string, std::string, std::less<>> values;
    std::map<std::string, PreparedStatement, std::less<>> prepared;
    std::size_t keptBytes = 0; ///< size of the values and prepared statements

    LogPosition mark; ///< log position of the session's newest commit

    /// False if the caller's key, or the organisation of relayed work, is no longer valid: nothing more is sent.
    [[nodiscard]] bool mayRun() const { return !this->keyWithdrawn && !this->organisationUnknown; }
    /// Bytes of the statements that are kept until their reply, and of a withheld result.
    [[nodiscard]] std::size_t statementBytes() const
    {
        // Statements hold their argument beside their text.
        std::size_t bytes = 2 * this->backlogBytes + this->backlog.size() * sizeof(Statement);
        if (this->limited)
            bytes += this->limited->text.size() + this->limited->argument.size();
        if (!this->work)
            return bytes;
        bytes += this->work->statement.text.size() + this->work->statement.argument.size();
        if (this->work->withheld) {
            for (const std::string &row : this->work->withheld->rows)
                bytes += row.size();
        }
        return bytes;
    }
    /// Whether a further statement has to wait.
    [[nodiscard]] bool isBusy() const
    {
        return this->work || this->limited || this->awaitsRoutes || this->repliesUnread;
    }
    /// Empty if the work runs in no organisation's name.
    [[nodiscard]] std::string_view organisationName() const
    {
        return this->organisation ? std::string_view(this->organisation->name) : std::string_view();
    }
};

} // namespace Jujubekeel
