#pragma once

#include "core/id.h"
#include "core/proxyoptions.h"
#include "core/time.h"
#include "session/logposition.h"

#include <concepts>
#include <cstdint>
#include <utility>

namespace Jujubekeel {

struct World;

/// Decides whether the owner of a primary may acknowledge a write or confirm a read. Policies are stateless; they only
/// read World.
template <typename Policy>
concept WriteAuthorityPolicy = requires(const World &world, BackendId backend, LogPosition position, std::uint64_t term,
                                        TimePoint since)
{
    /// The owner of the primary holds a lease of the platform, and a promotion waits until it has expired.
    {
        Policy::usesLease
        } -> std::convertible_to<bool>;
    /// Writes need the acknowledgement of replicas.
    {
        Policy::usesConfirmation
        } -> std::convertible_to<bool>;
    /// The write at \a position may be acknowledged.
    {
        Policy::isWriteConfirmed(world, backend, position)
        } -> std::same_as<bool>;
    /// The server was the primary of \a term at some time at or after \a since.
    {
        Policy::isReadConfirmed(world, backend, term, since)
        } -> std::same_as<bool>;
};

/// Number of replicas that must hold a write: n / 2, rounded down. Together with the primary they are a majority of the
/// group, so every majority that a promotion fences contains one of them.
[[nodiscard]] std::uint32_t requiredAcknowledgements(const World &world, DatabaseId database);

/// Group confirmation: enough replicas acknowledged under the server's own term. Needs no clock and no platform.
struct GroupConfirmationPolicy final
{
    static constexpr bool usesLease = false;
    static constexpr bool usesConfirmation = true;
    [[nodiscard]] static bool isWriteConfirmed(const World &world, BackendId backend, LogPosition position);
    [[nodiscard]] static bool isReadConfirmed(const World &world, BackendId backend, std::uint64_t term,
                                              TimePoint since);
};

/// Platform lease: this owner's lease for the term is valid now. Writes that no replica received are lost with the
/// primary.
struct PlatformLeasePolicy final
{
    static constexpr bool usesLease = true;
    static constexpr bool usesConfirmation = false;
    [[nodiscard]] static bool isWriteConfirmed(const World &world, BackendId backend, LogPosition position);
    [[nodiscard]] static bool isReadConfirmed(const World &world, BackendId backend, std::uint64_t term,
                                              TimePoint since);
};

/// Requires both group confirmation and a valid platform lease.
struct LeaseAndConfirmationPolicy final
{
    static constexpr bool usesLease = true;
    static constexpr bool usesConfirmation = true;
    [[nodiscard]] static bool isWriteConfirmed(const World &world, BackendId backend, LogPosition position);
    [[nodiscard]] static bool isReadConfirmed(const World &world, BackendId backend, std::uint64_t term,
                                              TimePoint since);
};

static_assert(WriteAuthorityPolicy<GroupConfirmationPolicy>);
static_assert(WriteAuthorityPolicy<PlatformLeasePolicy>);
static_assert(WriteAuthorityPolicy<LeaseAndConfirmationPolicy>);

/// Calls \a function with the policy type that belongs to \a policy.
template <typename Function>
auto withPolicy(AuthorityPolicy policy, Function &&function)
{
    const auto call = [&]<WriteAuthorityPolicy Policy>(Policy chosen) { return function(chosen); };
    switch (policy) {
    case AuthorityPolicy::PlatformLease:
        return call(PlatformLeasePolicy{});
    case AuthorityPolicy::LeaseAndConfirmation:
        return call(LeaseAndConfirmationPolicy{});
    case AuthorityPolicy::GroupConfirmation:
        break;
    }
    return call(GroupConfirmationPolicy{});
}

[[nodiscard]] inline bool usesLease(AuthorityPolicy policy)
{
    return withPolicy(policy, [](auto chosen) { return decltype(chosen)::usesLease; });
}

[[nodiscard]] inline bool usesConfirmation(AuthorityPolicy policy)
{
    return withPolicy(policy, [](auto chosen) { return decltype(chosen)::usesConfirmation; });
}

} // namespace Jujubekeel
