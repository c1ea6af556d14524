#include "leadership/recoverysystem.h"

#include "leadership/registrationsystem.h"
#include "pool/poolworld.h"

#include <algorithm>

namespace Jujubekeel {

void RecoverySystem::check()
{
    const FleetView &view = this->registration.fleet();
    if (view.revision() == 0 || this->world.role != FleetRole::Member)
        return;
    if (this->world.now - view.eraSeenAt() < this->turn())
        return;
    if (this->world.now >= this->recordsAt)
        this->confirmRecords();
    if (!this->isMarkerDue())
        return;
    this->removeOutdatedMembers();
    this->write(std::string(FleetView::recoveryName), view.recoveryRevision(),
                FleetView::recoveryText(view.version().era));
}

void RecoverySystem::confirmRecords()
{
    const FleetView &view = this->registration.fleet();
    const std::uint64_t era = view.version().era;
    const auto confirm = [&](const std::string &service, std::uint64_t revision, LeadershipRecord record) {
        record.era = era;
        this->write(FleetView::recordName(service), revision, record.toText());
    };
    // What this instance knows may have been replaced without it.
    if (this->registration.mayLackEarlierEra())
        return;
    const bool isConfirming = !this->registration.isEraRecovered();
    for (const auto &[service, row] : view.records()) {
        if (row.lost || (isConfirming && row.record.era != era))
            confirm(service, row.version.revision, row.record);
    }
    if (!isConfirming)
        return;
    // Instances that have started since cannot tell a primary that was never replaced from one whose replacement the
    // store has lost.
    this->world.forEachDatabase([&](ServiceId, const ServiceRow &service) {
        const bool isCertain = !service.changing && this->world.isLeadershipVerified(service);
        if (isCertain && !service.primaryId.empty() && view.record(service.name) == nullptr)
            confirm(service.name, 0,
                    {.term = service.term, .primary = service.primaryId, .primarySince = StoreVersion{}});
    });
}

bool RecoverySystem::areRecordsConfirmed() const
{
    const FleetView &view = this->registration.fleet();
    bool confirmed = true;
    this->world.forEachDatabase([&](ServiceId, const ServiceRow &service) {
        const FleetView::Record *known = view.record(service.name);
        confirmed =
            confirmed && (service.servers.empty() || (known != nullptr && known->record.era == view.version().era));
    });
    return confirmed;
}

void RecoverySystem::removeOutdatedMembers()
{
    // Their authority leases have expired. An instance that is still running registers again.
    const FleetView &view = this->registration.fleet();
    for (const auto &[instance, member] : view.members()) {
        const std::string name = FleetView::memberName(instance);
        const bool stored = member.version.era == view.version().era;
        if (!stored || !member.record.isOutdated(view.version().era) || this->calls.contains(name))
            continue;
        const std::uint64_t call = this->world.takeCall();
        this->calls.emplace(name, call);
        this->world.log(LogLevel::Info, "outdated-member-removed",
                        {{"member", instance}, {"era", std::to_string(member.record.era)}});
        this->world.emit(DeleteFleetObject{.call = call, .name = name, .expectedRevision = member.version.revision});
    }
}

bool RecoverySystem::isMarkerDue() const
{
    const FleetView &view = this->registration.fleet();
    if (view.isEraRecovered() || !this->registration.isFleetViewCurrent() || this->world.now < this->markerAt)
        return false;
    // At the first start of the fleet there is nothing to recover.
    if (this->registration.isEraRecovered())
        return true;
    const bool recordsLost =
        std::any_of(view.records().begin(), view.records().end(), [](const auto &row) { return row.second.lost; });
    // After the recovery a missing record means that a primary was never replaced.
    return !recordsLost && this->areRecordsConfirmed()
           && this->world.now - view.eraSeenAt() >= this->registration.leaseExpiryTime() + this->turn();
}

Duration RecoverySystem::turn() const
{
    std::uint32_t before = 0;
    for (const auto &[instance, member] : this->registration.fleet().members()) {
        if (instance < this->world.options.instance && !member.record.isEvicted())
            before += 1;
    }
    return this->options.recoveryTurn * std::min(before, this->options.recoveryTurns);
}

void RecoverySystem::write(const std::string &name, std::uint64_t expectedRevision, const std::string &content)
{
    if (this->calls.contains(name))
        return;
    const std::uint64_t call = this->world.takeCall();
    this->calls.emplace(name, call);
    this->world.log(LogLevel::Info, "recovery-write",
                    {{"object", name},
                     {"era", std::to_string(this->registration.fleet().version().era)},
                     {"expectedRevision", std::to_string(expectedRevision)}});
    this->world.emit(
        WriteFleetObject{.call = call, .name = name, .expectedRevision = expectedRevision, .content = content});
}

bool RecoverySystem::writeFinished(const WriteOutcome &outcome)
{
    const bool own = std::erase_if(this->calls, [&](const auto &entry) { return entry.second == outcome.call; }) > 0;
    // Also after a success, until the watch shows it. The marker is not urgent.
    if (own) {
        this->recordsAt = this->world.now + this->options.writeRetryDelay;
        this->markerAt = this->world.now + this->options.recoveryWait;
    }
    return own;
}

} // namespace Jujubekeel
