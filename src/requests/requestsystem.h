#pragma once

#include "core/action.h"
#include "core/callermessages.h"
#include "core/entryrow.h"
#include "core/id.h"
#include "core/peermessages.h"
#include "core/proxyoptions.h"
#include "session/sessiontokencodec.h"

#include <map>

namespace Jujubekeel {

struct World;

/// Life of a caller's request at its entry proxy: checks, session mark, rules, routing, attempts, outcome. Writes
/// World::entries and World::sessions. Owned by ProxyCore; runs within its step.
class RequestSystem final
{
public:
    explicit RequestSystem(const SessionOptions &options);

    void handle(World &world, const CallerRequest &request, Actions &actions);
    void callerGone(World &world, std::uint64_t ticket);
    void handle(World &world, const ForwardAnswer &answer, Actions &actions);
    void tick(World &world, Actions &actions);

private:
    SessionTokenCodec codec;
    std::map<std::uint64_t, RequestId> forwards; ///< attempts under way
    std::map<std::uint64_t, RequestId> tickets;
};

} // namespace Jujubekeel
