#include "authority/promotionrules.h"

#include "authority/writeauthoritypolicy.h"
#include "core/world.h"
#include "observe/logaction.h"

#include <algorithm>
#include <cassert>
#include <utility>
#include <vector>

namespace Jujubekeel {

namespace {

/// Time for which a claim of another live promoter, or a fence accepted by a majority, is respected. A normal promotion
/// takes a fraction of it.
constexpr Duration baseRivalTimeout = std::chrono::seconds(1);

} // namespace

std::size_t majority(const DatabaseRow &row)
{
    return row.backends.size() / 2 + 1;
}

std::size_t requiredSilentReplicas(const DatabaseRow &row)
{
    return row.backends.size() - row.backends.size() / 2;
}

Duration rivalPromotionTimeout(const World &world)
{
    const AuthorityOptions &options = world.options.authority;
    return usesLease(options.policy) ? baseRivalTimeout + 3 * options.leaseDuration / 2 : baseRivalTimeout;
}

void recordRefusedTerm(const World &world, DatabaseRow &row, const ServerStatus &status)
{
    if (status.fencedTerm <= row.history.lastTerm() || row.promotion.refusedTerm >= status.fencedTerm)
        return;
    row.promotion.refusedTerm = status.fencedTerm;
    row.promotion.refusedSince = world.now;
}

bool isActive(PromotionStep step)
{
    return step != PromotionStep::Idle && step != PromotionStep::BackingOff;
}

bool isFresh(const World &world, const PromotionMember &member)
{
    return member.status && world.now - member.answeredAt <= world.options.authority.suspectAfter;
}

std::size_t memberIndex(const DatabaseRow &row, BackendId backend)
{
    const auto found = std::ranges::find(row.backends, backend);
    assert(found != row.backends.end());
    return static_cast<std::size_t>(found - row.backends.begin());
}

std::uint64_t highestTerm(const DatabaseRow &row)
{
    std::uint64_t highest = std::max({row.history.lastTerm(), row.promotion.term, row.promotion.claimedTerm});
    for (const PromotionMember &member : row.promotion.members) {
        highest = std::max(highest, member.refusedTerm);
        if (member.status)
            highest = std::max({highest, member.status->fencedTerm, member.status->history.lastTerm()});
    }
    return highest;
}

bool hasLiveOwner(const World &world, const BackendRow &row)
{
    return row.owner.isValid() && world.at(row.owner).live;
}

void logPromotionChange(const World &world, DatabaseId database, BackendId backend, std::uint64_t term, LogLevel level,
                        std::string event, std::string reason, Actions &actions)
{
    std::vector<std::pair<std::string, std::string>> fields{
        {"database", world.layout.at(database).name},
        {"backend_server", backend.isValid() ? world.layout.at(backend).name : ""},
        {"term", std::to_string(term)},
        {"instance", world.selfName()}};
    if (!reason.empty())
        fields.emplace_back("reason", std::move(reason));
    appendLog(actions, level, std::move(event), std::move(fields));
}

} // namespace Jujubekeel
