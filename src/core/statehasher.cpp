#include "core/statehasher.h"

#include "core/world.h"

namespace Jujubekeel {

namespace {

void addPosition(StateHasher &hasher, LogPosition position)
{
    hasher.add(position.term);
    hasher.add(position.position);
}

} // namespace

void StateHasher::add(std::uint64_t value)
{
    constexpr std::uint64_t prime = 1099511628211ULL; // prime of 64-bit FNV-1a
    for (int shift = 0; shift < 64; shift += 8) {
        this->state ^= (value >> static_cast<unsigned>(shift)) & 0xffU;
        this->state *= prime;
    }
}

void StateHasher::add(std::string_view text)
{
    this->add(text.size());
    for (const char character : text)
        this->add(static_cast<std::uint64_t>(static_cast<unsigned char>(character)));
}

std::uint64_t hashWorld(const World &world)
{
    StateHasher hasher;
    hasher.add(static_cast<std::uint64_t>(world.now.count()));
    hasher.add(world.nextSerial);
    for (const InstanceRow &row : world.instances) {
        hasher.add(static_cast<std::uint64_t>(row.lastHeard.count()));
        hasher.add(static_cast<std::uint64_t>(row.live));
    }
    for (const DatabaseRow &row : world.databases) {
        hasher.add(row.primary.packed());
        hasher.add(row.history.lastTerm());
        hasher.add(static_cast<std::uint64_t>(row.promotion.step));
    }
    for (const BackendRow &row : world.backends) {
        hasher.add(row.owner.packed());
        hasher.add(static_cast<std::uint64_t>(row.ownership.step));
        addPosition(hasher, row.applied);
        addPosition(hasher, row.received);
        addPosition(hasher, row.confirmation.confirmed);
        hasher.add(row.slotsInUse);
        hasher.add(row.openConnections);
    }
    world.connections.forEach([&](ConnectionId id, const ConnectionRow &row) {
        hasher.add(id.packed());
        hasher.add(row.serial);
        hasher.add(static_cast<std::uint64_t>(row.state));
    });
    world.entries.forEach([&](RequestId id, const EntryRow &row) {
        hasher.add(id.packed());
        hasher.add(row.forwardId);
        hasher.add(static_cast<std::uint64_t>(row.step));
    });
    world.executions.forEach([&](ExecutionId id, const ExecutionRow &row) {
        hasher.add(id.packed());
        hasher.add(static_cast<std::uint64_t>(row.step));
    });
    hasher.add(world.rules ? world.rules->version() : 0);
    return hasher.value();
}

} // namespace Jujubekeel
