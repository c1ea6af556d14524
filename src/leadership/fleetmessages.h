#pragma once

#include "core/time.h"

#include <cstdint>
#include <string>
#include <vector>

/// Messages between the decision library and the store that keeps the fleet's own objects.
namespace Jujubekeel {

/// One object of the fleet: a LeadershipRecord or a MemberRecord.
struct FleetObject
{
    std::string name;
    std::uint64_t revision = 0; ///< of its last change; revisions rise over all objects
    std::string content;
    bool deleted = false;
};

/// What the store has said of the fleet's objects, at least as new as `requestedAt`.
struct FleetUpdate
{
    bool complete = false; ///< objects that are not named do not exist
    std::vector<FleetObject> objects;
    std::uint64_t revision = 0;
    TimePoint requestedAt{0};
};

/// Writes an object if its revision is still `expectedRevision` (0: it must not exist). The shell answers with exactly
/// one WriteOutcome.
struct WriteFleetObject
{
    std::uint64_t call = 0;
    std::string name;
    std::uint64_t expectedRevision = 0;
    std::string content;
};

struct DeleteFleetObject
{
    std::uint64_t call = 0;
    std::string name;
    std::uint64_t expectedRevision = 0;
};

enum class WriteResult : std::uint8_t {
    Ok,
    Conflict,
    Unavailable, ///< no answer: it may have taken effect, or may still
};

struct WriteOutcome
{
    std::uint64_t call = 0;
    WriteResult result = WriteResult::Unavailable;
    std::uint64_t revision = 0; ///< Ok: of the object
};

/// Names the backend server that leads a service from now on. The shell answers with exactly one PromotionOutcome.
struct PromoteServer
{
    std::uint64_t call = 0;
    std::string service;
    std::string server;
    std::string holder;
    std::uint64_t fencingToken = 0; ///< rises over all calls of the fleet
};

enum class PromotionResult : std::uint8_t {
    Ok,
    NotRunning, ///< the named server cannot take over
    Unavailable,
};

struct PromotionOutcome
{
    std::uint64_t call = 0;
    PromotionResult result = PromotionResult::Unavailable;
};

} // namespace Jujubekeel
