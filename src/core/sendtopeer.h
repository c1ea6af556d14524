#pragma once

#include "core/action.h"
#include "core/id.h"
#include "core/peermessages.h"

namespace Jujubekeel {

struct World;

/// Sends a message to an instance. A message to this instance itself is delivered within the same step.
void sendToPeer(World &world, InstanceId to, PeerMessage message, Actions &actions);

/// Sends a message to every other live instance.
void sendToLivePeers(World &world, const PeerMessage &message, Actions &actions);

} // namespace Jujubekeel
