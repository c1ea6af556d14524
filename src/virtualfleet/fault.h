#pragma once

#include "core/time.h"

#include <cstdint>
#include <string>
#include <variant>

/// Faults that VirtualFleet can inject, as plain values. Proxies, databases and backend servers are named by their place
/// in the layout.
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
/// Inputs wait until the proxy resumes.
struct PauseProxy
{
    std::uint32_t proxy = 0;
};
struct ResumeProxy
{
    std::uint32_t proxy = 0;
};
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
/// Cuts the primary off from the other servers of its group. Connections of proxies keep working.
struct CutPrimaryFromGroup
{
    std::uint32_t database = 0;
};
struct CutDomain
{
    std::string failureDomain;
};
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
/// The next conditional updates take effect and their answers are lost.
struct LosePlatformAnswers
{
    std::uint32_t count = 1;
};
/// Delay of applying at all replicas of a database.
struct SetReplicaLag
{
    std::uint32_t database = 0;
    Duration lag{0};
};
/// One open work connection to the primary of a database loses all messages both ways.
struct SilenceConnection
{
    std::uint32_t database = 0;
};
struct ChangeRules
{
    std::string author;
    std::string text;
};
/// Two operators read the same version and update it.
struct RaceOperators
{
    std::string firstText;
    std::string secondText;
};

using Fault =
    std::variant<KillProxy, RestartProxy, PauseProxy, ResumeProxy, StopProxy, LeaveInstance, KillBackend,
                 RestartBackend, KillPrimary, CutPrimaryFromGroup, CutDomain, HealLinks, SetPlatformDown,
                 SetPlatformLatency, LosePlatformAnswers, SetReplicaLag, SilenceConnection, ChangeRules, RaceOperators>;

} // namespace Jujubekeel
