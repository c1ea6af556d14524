#pragma once

#include "core/time.h"

#include <cstdint>
#include <string>
#include <vector>

/// Messages between a proxy or the operators' command and the platform's service, a store of versioned objects.
namespace Jujubekeel {

enum class PlatformOperation : std::uint8_t {
    Get,
    Put,           ///< conditional: takes effect only if the object's version is `expectedVersion` (0: must not exist)
    Watch,         ///< answers once the version is above `expectedVersion`, or with Unchanged after `wait`
    ListInstances, ///< list of instances; may be out of date
};

struct PlatformCall
{
    std::uint64_t call = 0; ///< id of the call; repeated in the answer
    PlatformOperation operation = PlatformOperation::Get;
    std::string key;
    std::uint64_t expectedVersion = 0;
    std::string value;
    Duration wait{0}; ///< Watch: longest time until the answer
};

enum class PlatformStatusCode : std::uint8_t {
    Ok,
    Unchanged, ///< Watch: nothing new within `wait`
    NotFound,
    Conflict,    ///< Put: the version differs; version and value are the current ones
    Unavailable, ///< no answer; a Put may or may not have taken effect
};

struct ListedInstance
{
    std::string name;
    bool leaving = false;
};

struct PlatformAnswer
{
    std::uint64_t call = 0;
    PlatformStatusCode code = PlatformStatusCode::Unavailable;
    std::uint64_t version = 0;
    std::string value;
    std::vector<ListedInstance> instances; ///< ListInstances
};

} // namespace Jujubekeel
