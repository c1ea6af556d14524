#include "session/logposition.h"

namespace Jujubekeel {

std::string toText(LogPosition position)
{
    return std::to_string(position.term) + '.' + std::to_string(position.position);
}

} // namespace Jujubekeel
