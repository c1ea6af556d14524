#pragma once

#include "core/storeversion.h"
#include "core/time.h"

#include <cstdint>
#include <string>
#include <vector>

/// Messages between the decision library and the store that holds the objects of the fleet.
namespace Jujubekeel {

/// One stored object of the fleet: a LeadershipRecord or a MemberRecord in its text form.
struct FleetObject
{
    std::string name;
    std::uint64_t revision = 0; ///< of its last change; revisions increase across all objects
    std::string content;
    bool deleted = false;
};

/// Objects of the fleet as read from the store. The state is at least as recent as `requestedAt`.
struct FleetUpdate
{
    bool complete = false; ///< full list: objects that it does not contain do not exist
    bool reported = false; ///< a member has sent it: a full list of the members only, which verifies nothing
    std::vector<FleetObject> objects;
    std::uint64_t revision = 0; ///< of the store
    std::uint64_t era = 0;      ///< of the store; see StoreVersion
    TimePoint requestedAt{0};

    [[nodiscard]] StoreVersion version() const { return {.era = this->era, .revision = this->revision}; }
};

/// Writes an object if its revision is still `expectedRevision` (0: it must not exist). Answered by exactly one
/// WriteOutcome.
struct WriteFleetObject
{
    std::uint64_t call = 0;
    std::string name;
    std::uint64_t expectedRevision = 0;
    std::string content;
};

/// Deletes an object if its revision is still `expectedRevision`. Answered by exactly one WriteOutcome.
struct DeleteFleetObject
{
    std::uint64_t call = 0;
    std::string name;
    std::uint64_t expectedRevision = 0;
};

enum class WriteResult : std::uint8_t {
    Ok,
    Conflict,
    Unavailable, ///< no answer: the write may have taken effect or may still do so
};

struct WriteOutcome
{
    std::uint64_t call = 0;
    WriteResult result = WriteResult::Unavailable;
    std::uint64_t revision = 0; ///< Ok: new revision of the object
    std::uint64_t era = 0;      ///< Ok: era of the store in which the write took effect
};

/// Requests the platform to promote a backend server to primary of a service. Answered by exactly one PromotionOutcome.
struct PromoteServer
{
    std::uint64_t call = 0;
    std::string service;
    std::string server;
    std::string holder;             ///< instance that replaces the primary
    std::uint64_t fencingToken = 0; ///< increases over all promotions of the fleet
};

enum class PromotionResult : std::uint8_t {
    Ok,
    NotRunning, ///< the server cannot take over
    Unavailable,
};

struct PromotionOutcome
{
    std::uint64_t call = 0;
    PromotionResult result = PromotionResult::Unavailable;
};

} // namespace Jujubekeel
