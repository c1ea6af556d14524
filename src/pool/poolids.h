#pragma once

#include "core/id.h"

namespace Jujubekeel {

using SessionId = Id<struct SessionTag>;
using LinkId = Id<struct LinkTag>;
using ServerId = Id<struct ServerTag>;
using ServiceId = Id<struct ServiceTag>;

} // namespace Jujubekeel
