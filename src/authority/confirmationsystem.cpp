#include "authority/confirmationsystem.h"

#include "authority/leaseobject.h"
#include "authority/writeauthoritypolicy.h"
#include "core/world.h"

#include <algorithm>
#include <cassert>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace Jujubekeel {

namespace {

void sendLeaseCall(World &world, BackendId backend, Actions &actions)
{
    BackendRow &row = world.at(backend);
    LeaseState &lease = row.confirmation.lease;
    lease.call = world.allocateSerial();
    lease.sentAt = world.now;
    lease.writing = lease.versionKnown;
    PlatformCall call{.call = lease.call, .key = leaseKey(world.layout.at(row.database).name)};
    if (lease.writing) {
        lease.sequence = lease.call;
        lease.writtenTerm = row.history.lastTerm();
        lease.writtenAt = world.now;
        call.operation = PlatformOperation::Put;
        call.expectedVersion = lease.version;
        call.value = formatLease({.term = lease.writtenTerm,
                                  .holder = world.selfName(),
                                  .incarnation = world.incarnation,
                                  .sequence = lease.sequence});
    } else {
        call.operation = PlatformOperation::Get;
    }
    actions.emplace_back(CallPlatform{.call = std::move(call)});
    world.counters.add("jujubekeel_platform_calls_total{call=\"lease\"}");
}

void grant(World &world, LeaseState &lease)
{
    lease.term = lease.writtenTerm;
    lease.validUntil = lease.writtenAt + world.options.authority.leaseDuration;
    lease.nextRenewal = lease.writtenAt + world.options.authority.leaseRenewal;
}

} // namespace

void ConfirmationSystem::requestBarrier(World &world, BackendId backend, std::uint64_t position)
{
    assert(backend.index < world.backends.size());
    if (!usesConfirmation(world.options.authority.policy))
        return;
    const BackendRow &row = world.at(backend);
    ConfirmationState &state = world.at(backend).confirmation;
    state.requestedPosition = std::max(state.requestedPosition, position);
    if (position == 0 && row.applied.term == row.history.lastTerm())
        state.requestedPosition = std::max(state.requestedPosition, row.applied.position);
    if (!state.barrierRequested) {
        state.barrierRequested = true;
        world.barrierRequests.push_back(backend);
    }
}

void ConfirmationSystem::observeStatus(World &world, BackendId backend, const ServerStatus &status)
{
    assert(backend.index < world.backends.size());
    if (status.role != BackendRole::Primary)
        return;
    BackendRow &row = world.at(backend);
    ConfirmationState &state = row.confirmation;
    const std::uint64_t term = status.history.lastTerm();

    // Positions acknowledged under the server's own term, highest first. Entries for servers outside the group and
    // repeated entries for one server must not count.
    std::vector<std::uint64_t> positions;
    std::vector<std::string_view> counted;
    for (const ReplicaAcknowledgement &acknowledgement : status.replicas) {
        const BackendId replica = world.layout.findBackend(acknowledgement.server);
        const bool ofGroup = replica.isValid() && replica != backend && world.at(replica).database == row.database;
        if (!ofGroup || acknowledgement.received.term != term
            || std::ranges::find(counted, acknowledgement.server) != counted.end())
            continue;
        counted.push_back(acknowledgement.server);
        positions.push_back(acknowledgement.received.position);
    }
    std::ranges::sort(positions, std::greater<>{});

    const std::uint32_t required = requiredAcknowledgements(world, row.database);
    if (positions.size() < required)
        return;
    const LogPosition confirmed{.term = term,
                                .position = required == 0 ? status.received.position : positions[required - 1]};
    if (confirmed > state.confirmed) {
        state.confirmed = confirmed;
        state.lastAcknowledged = world.now;
    }
}

void ConfirmationSystem::observeBarrier(World &world, BackendId backend, const ServerStatus &status, TimePoint sentAt)
{
    assert(backend.index < world.backends.size());
    assert(sentAt <= world.now);
    if (status.role != BackendRole::Primary)
        return;
    ConfirmationState &state = world.at(backend).confirmation;
    const std::uint64_t term = status.history.lastTerm();
    if (term < state.barrierTerm)
        return;
    state.barrierSentAt = term == state.barrierTerm ? std::max(state.barrierSentAt, sentAt) : sentAt;
    state.barrierTerm = term;
    state.lastAcknowledged = world.now;
}

bool ConfirmationSystem::isWriteConfirmed(const World &world, BackendId backend, LogPosition position)
{
    return withPolicy(world.options.authority.policy,
                      [&](auto policy) { return decltype(policy)::isWriteConfirmed(world, backend, position); });
}

bool ConfirmationSystem::isReadConfirmed(const World &world, BackendId backend, std::uint64_t term, TimePoint since)
{
    return withPolicy(world.options.authority.policy,
                      [&](auto policy) { return decltype(policy)::isReadConfirmed(world, backend, term, since); });
}

void ConfirmationSystem::tick(World &world, Actions &actions)
{
    if (!usesLease(world.options.authority.policy))
        return;
    for (std::uint32_t index = 0; index < world.backends.size(); ++index) {
        const BackendId backend{.index = index, .generation = 0};
        BackendRow &row = world.at(backend);
        LeaseState &lease = row.confirmation.lease;

        // Only the owner of the primary renews the lease. A lease that is no longer renewed expires.
        const bool owned = executesWork(row.ownership.step);
        if (!owned || world.at(row.database).primary != backend || row.role != BackendRole::Primary
            || row.history.lastTerm() != world.at(row.database).history.lastTerm()) {
            lease.call = 0;
            lease.versionKnown = false;
            continue;
        }

        // An unanswered update may have taken effect, so the version is read again.
        if (lease.call != 0 && world.now - lease.sentAt > world.options.authority.claimTimeout) {
            lease.call = 0;
            lease.versionKnown = false;
        }
        const bool newTerm = row.history.lastTerm() > lease.writtenTerm;
        if (lease.call == 0 && (newTerm || world.now >= lease.nextRenewal))
            sendLeaseCall(world, backend, actions);
    }
}

void ConfirmationSystem::handle(World &world, const PlatformAnswer &answer)
{
    if (!usesLease(world.options.authority.policy))
        return;
    const auto found = std::ranges::find_if(
        world.backends, [&](const BackendRow &row) { return row.confirmation.lease.call == answer.call; });
    if (found == world.backends.end() || answer.call == 0)
        return;
    BackendRow &row = *found;
    LeaseState &lease = row.confirmation.lease;
    const bool wrote = lease.writing;
    lease.call = 0;

    switch (answer.code) {
    case PlatformStatusCode::Ok:
        lease.version = answer.version;
        lease.versionKnown = true;
        if (wrote) {
            grant(world, lease);
            return;
        }
        break;
    case PlatformStatusCode::Conflict:
    case PlatformStatusCode::NotFound:
        lease.version = answer.version;
        lease.versionKnown = true;
        break;
    case PlatformStatusCode::Unchanged:
    case PlatformStatusCode::Unavailable:
        lease.versionKnown = false;
        lease.nextRenewal = world.now + world.options.authority.claimTimeout;
        return;
    }

    // The answer carries the current object. If it holds this instance's last update, whose answer was lost, the lease
    // counts from the time that update was sent. A record of a newer term means that a promotion is in progress, so the
    // lease must not be renewed.
    const std::optional<LeaseRecord> record = parseLease(answer.value);
    if (record && record->holder == world.selfName() && record->incarnation == world.incarnation
        && record->sequence == lease.sequence && lease.sequence != 0) {
        grant(world, lease);
    } else if (record && record->term > row.history.lastTerm()) {
        lease.versionKnown = false;
        lease.nextRenewal = world.now + world.options.authority.leaseRenewal;
        lease.writtenTerm = row.history.lastTerm();
    } else {
        lease.nextRenewal = world.now;
    }
}

} // namespace Jujubekeel
