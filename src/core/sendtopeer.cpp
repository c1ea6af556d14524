#include "core/sendtopeer.h"

#include "core/world.h"

#include <utility>

namespace Jujubekeel {

void sendToPeer(World &world, InstanceId to, PeerMessage message, Actions &actions)
{
    if (to == world.self)
        world.localMessages.push_back(std::move(message));
    else
        actions.emplace_back(SendToPeer{.to = to, .message = std::move(message)});
}

void sendToLivePeers(World &world, const PeerMessage &message, Actions &actions)
{
    for (std::uint32_t index = 0; index < world.instances.size(); ++index) {
        const InstanceId id{.index = index, .generation = 0};
        if (id != world.self && world.at(id).live)
            actions.emplace_back(SendToPeer{.to = id, .message = message});
    }
}

} // namespace Jujubekeel
