#pragma once

#include "catalog/route.h"
#include "core/time.h"
#include "pool/poolids.h"
#include "pool/poolmessages.h"
#include "pool/statement.h"

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Jujubekeel {

struct PreparedStatement
{
    bool writes = false;
    std::string shape;
};

/// What a statement needs, from its arrival until its answer. Part of SessionRow.
struct PendingWork
{
    Statement statement;
    TimePoint arrivedAt{0};
    TimePoint deadline{0};     ///< Busy unless it has been sent by then
    TimePoint consistentAt{0}; ///< commits acknowledged up to here must be visible
    bool needsPrimary = false;
    bool writes = false;    ///< a single write, or the commit of a transaction that wrote
    ServiceId queue;        ///< service in whose queue it waits for a link; invalid: it does not wait
    bool beginSent = false; ///< the link's answer to Begin is outstanding
    bool sent = false;      ///< passed on to a backend server at least once
    TimePoint sentAt{0};    ///< last passed on
    std::string server;     ///< the one that was last chosen; a member if the work is relayed
    std::uint32_t attempts = 0;
    std::vector<ServerId> excluded;              ///< servers that could not run it
    std::optional<OutcomeError> lastError;       ///< why the last server could not
    std::optional<LogPosition> requiredPosition; ///< position demanded of the last server
    std::optional<CallerReply> withheld;         ///< result that waits for proof of leadership
    TimePoint answeredAt{0};                     ///< when the withheld result came

    [[nodiscard]] bool isQueued() const { return this->queue.isValid(); }
};

/// An open transaction of a session.
struct TransactionState
{
    bool readOnly = false;
    bool wrote = false;           ///< a write has been sent
    bool lost = false;            ///< the backend server's side has ended
    bool needsLeadership = false; ///< its reads are only right while the primary leads
    LinkId link;                  ///< invalid until the first statement
    TimePoint startedAt{0};
    TimePoint lastActiveAt{0};
};

/// One caller's connection. Written by SessionSystem and DispatchSystem.
struct SessionRow
{
    std::string database;
    bool relayed = false; ///< another instance's link; its route comes with the work
    SessionState state = SessionState::Idle;
    std::shared_ptr<const Route> route; ///< of the running transaction or statement
    std::optional<TransactionState> transaction;
    std::optional<PendingWork> work;
    std::deque<Statement> backlog; ///< sent ahead of the answer to the statement before

    std::map<std::string, std::string, std::less<>> values;
    std::map<std::string, PreparedStatement, std::less<>> prepared;

    LogPosition mark; ///< newest commit of the session
};

} // namespace Jujubekeel
