#pragma once

#include "core/action.h"
#include "core/callermessages.h"
#include "core/entryrow.h"
#include "core/failurereason.h"
#include "core/id.h"
#include "core/peermessages.h"
#include "core/proxyoptions.h"
#include "session/sessiontokencodec.h"

#include <map>
#include <string>

namespace Jujubekeel {

struct Route;
struct World;

/// Handles callers' requests at their entry proxy: validation, session mark, rules, routing, retries and outcome.
/// Writes World::entries. Owned by ProxyCore; runs within its step.
class RequestSystem final
{
public:
    explicit RequestSystem(const SessionOptions &options);

    void handle(World &world, const CallerRequest &request, Actions &actions);
    void callerDisconnected(World &world, std::uint64_t ticket);
    void handle(World &world, const ForwardAnswer &answer, Actions &actions);
    void tick(World &world, Actions &actions);

private:
    /// Routes the request and sends it to an owner, or schedules a retry.
    void attempt(World &world, RequestId id, Actions &actions);
    [[nodiscard]] Route route(const World &world, const EntryRow &entry) const;
    void send(World &world, RequestId id, const Route &route, Actions &actions);
    static void scheduleRetry(World &world, EntryRow &entry, ResultCode code, std::string text);
    /// The transaction is lost, and an earlier attempt of its commit may have run: schedules a look-up of the commit's
    /// key.
    static void lookUpCommit(World &world, EntryRow &entry, ResultCode code, const std::string &text);

    /// Handles an attempt that ended with an unknown outcome.
    void handleLostAttempt(World &world, RequestId id, Actions &actions);
    void handleReadAnswer(World &world, RequestId id, const ForwardAnswer &answer, Actions &actions);
    void handleKeyNotFound(World &world, RequestId id, const ForwardAnswer &answer, Actions &actions);
    void handleNotRun(World &world, RequestId id, const ForwardAnswer &answer, Actions &actions);
    void expire(World &world, RequestId id, Actions &actions);

    void finish(World &world, RequestId id, const ForwardAnswer &result, Actions &actions);
    void finish(World &world, RequestId id, ResultCode code, std::string text, Actions &actions);

    SessionTokenCodec codec;
    std::map<std::uint64_t, RequestId> forwards;        ///< attempts in progress, by ForwardRequest::forwardId
    std::map<std::uint64_t, std::string> pendingBegins; ///< sessions of unanswered Begins, by forward id; bounded
    std::map<std::uint64_t, RequestId> tickets;         ///< open requests, by CallerRequest::ticket
};

} // namespace Jujubekeel
