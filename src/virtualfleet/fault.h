#pragma once

#include "core/time.h"

#include <cstdint>
#include <string>
#include <variant>

/// Faults that VirtualFleet can inject, as plain values. Proxies, databases and backend servers are given by their
/// index in the layout.
namespace Jujubekeel {

struct KillProxy
{
    std::uint32_t proxy = 0;
};
/// Starts a proxy that was killed or stopped, under a new incarnation.
struct RestartProxy
{
    std::uint32_t proxy = 0;
};
/// Suspends a proxy; its inputs are delivered when it resumes.
struct PauseProxy
{
    std::uint32_t proxy = 0;
};
struct ResumeProxy
{
    std::uint32_t proxy = 0;
};
/// Starts a planned stop.
struct StopProxy
{
    std::uint32_t proxy = 0;
};
/// The platform lists the instance as leaving.
struct LeaveInstance
{
    std::uint32_t proxy = 0;
    bool leaving = true;
};
struct KillBackend
{
    std::uint32_t backend = 0;
};
/// Starts a killed backend server with the log it had stored.
struct RestartBackend
{
    std::uint32_t backend = 0;
};
/// Kills the backend server that is the primary when the fault is injected.
struct KillPrimary
{
    std::uint32_t database = 0;
};
/// Cuts the links between the primary and the other servers of its group. Connections of proxies keep working.
struct IsolatePrimary
{
    std::uint32_t database = 0;
};
/// Cuts all links between the nodes of a failure domain and the other nodes, except those of callers.
struct IsolateDomain
{
    std::string failureDomain;
};
/// Heals all cut links.
struct HealLinks
{
};
struct SetPlatformDown
{
    bool down = true;
};
struct SetPlatformLatency
{
    Duration latency{0};
};
/// Loses the answers of the next `count` conditional updates, which take effect.
struct LosePlatformAnswers
{
    std::uint32_t count = 1;
};
/// Sets the apply lag of all replicas of a database.
struct SetReplicaLag
{
    std::uint32_t database = 0;
    Duration lag{0};
};
/// Drops all messages of one open work connection to the primary of a database, in both directions.
struct SilenceConnection
{
    std::uint32_t database = 0;
};
/// An operator replaces the rules.
struct ChangeRules
{
    std::string author;
    std::string text;
};
/// Two operators update the rules concurrently.
struct RaceOperators
{
    std::string firstText;
    std::string secondText;
};

using Fault =
    std::variant<KillProxy, RestartProxy, PauseProxy, ResumeProxy, StopProxy, LeaveInstance, KillBackend,
                 RestartBackend, KillPrimary, IsolatePrimary, IsolateDomain, HealLinks, SetPlatformDown,
                 SetPlatformLatency, LosePlatformAnswers, SetReplicaLag, SilenceConnection, ChangeRules, RaceOperators>;

} // namespace Jujubekeel
