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

/// Life of a caller's request at its entry proxy: checks, session mark, rules, routing, attempts, outcome. Writes
/// World::entries. Owned by ProxyCore; runs within its step.
class RequestSystem final
{
public:
    explicit RequestSystem(const SessionOptions &options);

    void handle(World &world, const CallerRequest &request, Actions &actions);
    void callerDisconnected(World &world, std::uint64_t ticket);
    void handle(World &world, const ForwardAnswer &answer, Actions &actions);
    void tick(World &world, Actions &actions);

private:
    /// Routes the request and sends it to an owner, or lets it wait.
    void attempt(World &world, RequestId id, Actions &actions);
    [[nodiscard]] Route route(const World &world, const EntryRow &entry) const;
    void send(World &world, RequestId id, const Route &route, Actions &actions);
    static void wait(World &world, EntryRow &entry, ResultCode code, std::string text);
    /// The transaction is gone, and an earlier attempt of the commit may have run: its key is looked up.
    static void lookUpCommit(World &world, EntryRow &entry, ResultCode code, const std::string &text);

    /// The attempt under way ended without a settled outcome.
    void attemptLost(World &world, RequestId id, Actions &actions);
    void readAnswered(World &world, RequestId id, const ForwardAnswer &answer, Actions &actions);
    void keyNotFound(World &world, RequestId id, const ForwardAnswer &answer, Actions &actions);
    void notRun(World &world, RequestId id, const ForwardAnswer &answer, Actions &actions);
    void expire(World &world, RequestId id, Actions &actions);

    void finish(World &world, RequestId id, const ForwardAnswer &result, Actions &actions);
    void finish(World &world, RequestId id, ResultCode code, std::string text, Actions &actions);

    SessionTokenCodec codec;
    std::map<std::uint64_t, RequestId> forwards; ///< attempts under way, by ForwardRequest::forwardId
    std::map<std::uint64_t, std::string> begins; ///< sessions of Begin attempts without answer, by forward; bounded
    std::map<std::uint64_t, RequestId> tickets;  ///< open requests, by CallerRequest::ticket
};

} // namespace Jujubekeel
