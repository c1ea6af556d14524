#pragma once

#include "core/time.h"
#include "pool/poolids.h"
#include "pool/poolmessages.h"
#include "pool/statement.h"

#include <string>

namespace Jujubekeel {

class DispatchSystem;
struct PoolWorld;
struct SessionRow;

/// Callers' sessions: answers what needs no backend server, and turns the rest into pending work. Owned by PoolCore.
class SessionSystem final
{
public:
    SessionSystem(PoolWorld &poolWorld, DispatchSystem &dispatchSystem) : world(poolWorld), dispatch(dispatchSystem) {}

    /// A caller asks for a session on a database.
    void open(SessionId session, const std::string &database);
    /// Another instance opens a session for work that it relays; \a expected is the instance that it means.
    void openRelayed(SessionId session, const std::string &expected);
    void run(SessionId session, Statement statement);
    /// The caller ends the session, or its connection has ended.
    void end(SessionId session);
    /// The pending work of a session has its answer.
    void finished(SessionId session, CallerReply reply);
    /// A transaction may have rested for too long.
    void checkIdleTransaction(SessionId session);
    /// Planned stop: closes sessions that are between two operations; later also ends open transactions.
    void closeIdle(bool endTransactions);

private:
    void runNext(SessionId session);
    void start(SessionId session, Statement statement);
    void useRoute(SessionId session, const Statement &statement);
    void begin(SessionId session, const Statement &statement);
    /// Rolls back the server's side; refuses and returns false if no transaction is open.
    bool endTransaction(SessionId session);
    void rollBack(SessionId session);
    void commitWithoutServer(SessionId session);
    void startWork(SessionId session, Statement statement);
    [[nodiscard]] Duration transactionIdleLimit() const;
    [[nodiscard]] bool resolveRoute(SessionId session);
    void logStatement(const SessionRow &session, const std::string &event, std::string code, const std::string &reason);
    void answer(SessionId session, SessionState state);
    void refuse(SessionId session, OutcomeCode code, std::string text, SessionState state);
    void failInTransaction(SessionId session, OutcomeCode code, std::string text);

    PoolWorld &world;
    DispatchSystem &dispatch;
};

} // namespace Jujubekeel
