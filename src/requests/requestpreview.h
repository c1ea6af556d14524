#pragma once

#include "core/callermessages.h"
#include "core/failurereason.h"

#include <optional>
#include <string>

namespace Jujubekeel {

struct World;

/// A request's shape: what rules and routing look at.
struct PreviewRequest
{
    std::string database;
    std::string operation;
    RequestKind kind = RequestKind::Read;
};

/// What would be decided now for a request of some shape, without sending anything: the rule that applies, the backend
/// server with the positions behind the choice, and the reason. The session is taken to have seen nothing yet. Stateless;
/// used by the operators' listener.
class RequestPreview final
{
public:
    /// Empty with a reason if the request would be rejected or could not be routed now.
    [[nodiscard]] static std::optional<Decision> decide(const World &world, const PreviewRequest &shape,
                                                        FailureReason &reason);
};

} // namespace Jujubekeel
