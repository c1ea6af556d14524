#pragma once

#include "core/callermessages.h"
#include "core/failurereason.h"

#include <optional>
#include <string>

namespace Jujubekeel {

struct World;

/// The properties of a request that rules and routing depend on.
struct PreviewRequest
{
    std::string database;
    std::string operation;
    RequestKind kind = RequestKind::Read;
};

/// Previews the decision for a request without sending it: the rule that applies, the backend server, the positions
/// that the choice is based on, and the reason. Assumes a new session. Stateless; used by the operators' listener.
class RequestPreview final
{
public:
    /// Empty with a reason if the request would be rejected or can't be routed now.
    [[nodiscard]] static std::optional<Decision> decide(const World &world, const PreviewRequest &request,
                                                        FailureReason &reason);
};

} // namespace Jujubekeel
