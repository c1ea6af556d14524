#include "membership/rendezvous.h"

#include "core/statehasher.h"
#include "core/world.h"

#include <algorithm>
#include <tuple>

namespace Jujubekeel {

namespace {

/// Final mix of a 64-bit value. FNV-1a alone changes mostly the low bits for names that differ in the last character,
/// which would rank such names in the same order for every key.
std::uint64_t mix(std::uint64_t value)
{
    value ^= value >> 33U;
    value *= 0xff51afd7ed558ccdULL;
    value ^= value >> 33U;
    value *= 0xc4ceb9fe1a85ec53ULL;
    value ^= value >> 33U;
    return value;
}

} // namespace

std::uint64_t rendezvousKey(std::string_view text)
{
    StateHasher hasher;
    hasher.add(text);
    return mix(hasher.value());
}

std::uint64_t rendezvousScore(std::uint64_t keyHash, std::uint64_t memberHash)
{
    // The factor makes score(a, b) differ from score(b, a).
    return mix(keyHash ^ (memberHash * 0x9e3779b97f4a7c15ULL));
}

std::uint64_t rendezvousScore(std::string_view key, std::string_view member)
{
    return rendezvousScore(rendezvousKey(key), rendezvousKey(member));
}

std::vector<InstanceId> rankInstances(const World &world, std::string_view key, std::string_view failureDomain)
{
    struct Candidate
    {
        bool outside;
        std::uint64_t score;
        InstanceId id;
    };

    std::vector<Candidate> candidates;
    for (std::uint32_t index = 0; index < world.instances.size(); ++index) {
        const InstanceRow &row = world.instances[index];
        if (!row.live || row.leaving)
            continue;
        const InstanceId id{.index = index, .generation = 0};
        const InstanceSettings &settings = world.layout.at(id);
        candidates.push_back({.outside = !failureDomain.empty() && settings.failureDomain != failureDomain,
                              .score = rendezvousScore(key, settings.name),
                              .id = id});
    }
    std::ranges::sort(candidates, [](const Candidate &left, const Candidate &right) {
        return std::tuple(left.outside, right.score, left.id) < std::tuple(right.outside, left.score, right.id);
    });

    std::vector<InstanceId> ranked;
    ranked.reserve(candidates.size());
    for (const Candidate &candidate : candidates)
        ranked.push_back(candidate.id);
    return ranked;
}

} // namespace Jujubekeel
