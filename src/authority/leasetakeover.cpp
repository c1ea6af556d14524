#include "authority/leasetakeover.h"

#include "authority/leaseobject.h"
#include "core/world.h"

#include <cstddef>
#include <optional>
#include <utility>

namespace Jujubekeel {

void LeaseTakeover::start(World &world, DatabaseId database, Actions &actions)
{
    if (world.at(database).promotion.leaseCall == 0)
        this->call(world, database, 0, false, actions);
}

LeaseTakeover::Progress LeaseTakeover::tick(World &world, DatabaseId database, Actions &actions)
{
    const AuthorityOptions &options = world.options.authority;
    PromotionState &promotion = world.at(database).promotion;

    // Probes keep the control connections open: servers drop silent ones before an old lease has expired.
    for (std::size_t index = 0; index < promotion.members.size(); ++index)
        this->connections.probe(world, database, index, false, world.options.ownership.pingInterval, actions);

    if (promotion.leaseTaken) {
        // The additional twentieth allows for clocks that run at different rates.
        const TimePoint expiresAt = promotion.leaseTakenAt + options.leaseDuration + options.leaseDuration / 20;
        return promotion.leaseNeverHeld || world.now >= expiresAt ? Progress::Expired : Progress::Waiting;
    }
    if (promotion.leaseCall != 0 && world.now - promotion.leaseSentAt <= options.claimTimeout)
        return Progress::Waiting;
    if (world.now - promotion.stepStarted > 2 * options.leaseDuration)
        return Progress::TimedOut;
    this->call(world, database, 0, false, actions);
    return Progress::Waiting;
}

void LeaseTakeover::answered(World &world, DatabaseId database, const PlatformAnswer &answer, Actions &actions)
{
    PromotionState &promotion = world.at(database).promotion;
    const bool active = promotion.step == PromotionStep::Fencing || promotion.step == PromotionStep::AwaitingLease;
    if (!active || answer.code == PlatformStatusCode::Unavailable || answer.code == PlatformStatusCode::Unchanged)
        return;
    if (answer.code == PlatformStatusCode::Ok && promotion.leaseWriting) {
        // From now on no lease of an older term can be renewed; the last one expires within leaseDuration.
        promotion.leaseTaken = true;
        promotion.leaseTakenAt = world.now;
        return;
    }
    if (answer.code == PlatformStatusCode::NotFound) {
        promotion.leaseNeverHeld = true;
        this->call(world, database, 0, true, actions);
        return;
    }

    const std::optional<LeaseRecord> record = parseLease(answer.value);
    const bool own = record && record->holder == world.selfName() && record->incarnation == world.incarnation
                     && record->sequence == promotion.leaseSequence && promotion.leaseSequence != 0;
    if (own) {
        // The update took effect although its answer was lost, or it is that of an earlier attempt.
        if (!promotion.leaseTaken) {
            promotion.leaseTaken = true;
            promotion.leaseTakenAt = world.now;
        }
        return;
    }
    promotion.leaseNeverHeld = false;
    promotion.leaseTaken = false;
    this->call(world, database, answer.version, true, actions);
}

void LeaseTakeover::call(World &world, DatabaseId database, std::uint64_t expectedVersion, bool write, Actions &actions)
{
    PromotionState &promotion = world.at(database).promotion;
    promotion.leaseCall = world.allocateSerial();
    promotion.leaseWriting = write;
    promotion.leaseSentAt = world.now;
    PlatformCall call{.call = promotion.leaseCall,
                      .operation = write ? PlatformOperation::Put : PlatformOperation::Get,
                      .key = leaseKey(world.layout.at(database).name),
                      .expectedVersion = expectedVersion};
    if (write) {
        promotion.leaseSequence = promotion.leaseCall;
        call.value = formatLease({.term = promotion.term,
                                  .holder = world.selfName(),
                                  .incarnation = world.incarnation,
                                  .sequence = promotion.leaseSequence});
    }
    actions.emplace_back(CallPlatform{.call = std::move(call)});
    world.counters.add("jujubekeel_platform_calls_total{call=\"lease\"}");
}

} // namespace Jujubekeel
