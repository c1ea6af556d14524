#include "authority/promotionclaim.h"

#include "authority/promotionrules.h"
#include "authority/promotionsobject.h"
#include "core/world.h"

#include <algorithm>
#include <optional>
#include <string>
#include <string_view>

namespace Jujubekeel {

void PromotionClaim::start(World &world, DatabaseId database, Actions &actions)
{
    PromotionState &promotion = world.at(database).promotion;
    promotion.step = PromotionStep::Claiming;
    promotion.stepStarted = world.now;
    promotion.claimSequence = 0;
    this->read(world, database, actions);
}

bool PromotionClaim::tick(World &world, DatabaseId database, Actions &actions)
{
    const Duration claimTimeout = world.options.authority.claimTimeout;
    const PromotionState &promotion = world.at(database).promotion;
    // If the platform does not answer, the promotion relies on the fence alone, because a server accepts a term from
    // one promoter only. Until then the object is read again after an unanswered update, which may have taken effect.
    if (world.now - promotion.stepStarted > claimTimeout)
        return true;
    if (promotion.claimWriting && world.now - promotion.claimSentAt > claimTimeout / 4)
        this->read(world, database, actions);
    return false;
}

bool PromotionClaim::answered(World &world, DatabaseId database, const PlatformAnswer &answer, Actions &actions)
{
    const AuthorityOptions &options = world.options.authority;
    DatabaseRow &row = world.at(database);
    PromotionState &promotion = row.promotion;
    const bool wrote = promotion.claimWriting;

    if (answer.code == PlatformStatusCode::Ok && wrote)
        return true;
    if (answer.code == PlatformStatusCode::Unavailable || answer.code == PlatformStatusCode::Unchanged) {
        // An unanswered update may have taken effect, so the object is read again. An unanswered read ends with
        // claimTimeout.
        if (wrote)
            this->read(world, database, actions);
        return false;
    }

    // The answer carries the current object.
    PromotionsObject object(answer.code == PlatformStatusCode::NotFound ? std::string_view{} : answer.value);
    const std::string &name = world.layout.at(database).name;
    const std::optional<PromotionRecord> record = object.find(name);
    if (record) {
        promotion.claimedTerm = std::max(promotion.claimedTerm, record->term);
        const bool own = record->promoter == world.selfName() && record->incarnation == world.incarnation;
        if (own && promotion.claimSequence != 0 && record->sequence == promotion.claimSequence
            && record->term == promotion.term && record->term > row.history.lastTerm())
            return true;
        const InstanceId promoter = world.layout.findInstance(record->promoter);
        const bool rival = record->term > row.history.lastTerm() && promoter.isValid() && promoter != world.self
                           && world.at(promoter).live;
        if (rival && promotion.rivalTerm != record->term) {
            promotion.rival = promoter;
            promotion.rivalTerm = record->term;
            promotion.rivalSince = world.now;
        }
        if (rival && world.now - promotion.rivalSince < rivalPromotionTimeout(world)) {
            if (promotion.planned)
                this->switchover.pauseWrites(world, database, false, actions);
            promotion.step = PromotionStep::BackingOff;
            promotion.notBefore = world.now + options.retryDelay;
            logPromotionChange(world, database, row.primary, record->term, LogLevel::Info, "promotion-left-to-rival",
                               "claimed by " + record->promoter, actions);
            return false;
        }
    }

    promotion.term = highestTerm(row) + 1;
    promotion.claimWriting = true;
    promotion.claimSentAt = world.now;
    promotion.claimVersion = answer.version;
    promotion.platformCall = world.allocateSerial();
    promotion.claimSequence = promotion.platformCall;
    object.set({.database = name,
                .term = promotion.term,
                .promoter = world.selfName(),
                .incarnation = world.incarnation,
                .sequence = promotion.claimSequence});
    actions.emplace_back(CallPlatform{.call = {.call = promotion.platformCall,
                                               .operation = PlatformOperation::Put,
                                               .key = PromotionsObject::key(database, options.promotionsShardSize),
                                               .expectedVersion = promotion.claimVersion,
                                               .value = object.text()}});
    world.counters.add("jujubekeel_platform_calls_total{call=\"claim\"}");
    return false;
}

void PromotionClaim::read(World &world, DatabaseId database, Actions &actions)
{
    PromotionState &promotion = world.at(database).promotion;
    promotion.claimWriting = false;
    promotion.claimSentAt = world.now;
    promotion.platformCall = world.allocateSerial();
    actions.emplace_back(
        CallPlatform{.call = {.call = promotion.platformCall,
                              .operation = PlatformOperation::Get,
                              .key = PromotionsObject::key(database, world.options.authority.promotionsShardSize)}});
    world.counters.add("jujubekeel_platform_calls_total{call=\"claim\"}");
}

} // namespace Jujubekeel
