#include "intake/memorybudget.h"

#include <algorithm>
#include <functional>
#include <utility>

namespace Jujubekeel {

namespace {

/// Shares of the capacity, in tenths, up to which each kind gets reservations: work that another instance has admitted
/// goes before new work, and results, which end work, before both.
constexpr std::array<std::size_t, consumerKinds> shareTenths{6, 8, 10};

} // namespace

std::size_t MemoryBudget::Row::counted() const
{
    return this->kept + std::max(this->transient, this->reserved);
}

void MemoryBudget::add(MemoryConsumer consumer, TimePoint now)
{
    this->rows.emplace(consumer, Row{.progressAt = now});
}

void MemoryBudget::remove(MemoryConsumer consumer)
{
    const auto found = this->rows.find(consumer);
    if (found == this->rows.end())
        return;
    this->release(found->second);
    this->countedBytes -= found->second.counted();
    this->heldBytes -= found->second.held();
    this->rows.erase(found);
}

void MemoryBudget::setHeld(MemoryConsumer consumer, std::size_t transient, std::size_t kept, TimePoint now)
{
    const auto found = this->rows.find(consumer);
    if (found == this->rows.end())
        return;
    Row &row = found->second;
    const bool wasSmall = row.held() <= this->options.allowance;
    if (wasSmall || transient + kept < row.held())
        row.progressAt = now;
    this->countedBytes -= row.counted();
    this->heldBytes -= row.held();
    row.transient = transient;
    row.kept = kept;
    this->countedBytes += row.counted();
    this->heldBytes += row.held();
    if (transient <= this->options.allowance)
        this->release(row);
}

bool MemoryBudget::mayRead(MemoryConsumer consumer)
{
    const auto found = this->rows.find(consumer);
    if (found == this->rows.end())
        return true;
    Row &row = found->second;
    if (row.transient <= this->options.allowance || row.transient < row.reserved) {
        row.waiting = false;
        return true;
    }
    if (row.waiting)
        return false;
    std::deque<MemoryConsumer> &queue = this->waiting.at(static_cast<std::size_t>(consumer.kind));
    // A consumer that asks later must not overtake those that wait.
    if (queue.empty() && this->reserve(consumer.kind, row))
        return true;
    row.waiting = true;
    queue.push_back(consumer);
    return false;
}

std::vector<MemoryConsumer> MemoryBudget::takeResumed()
{
    std::vector<MemoryConsumer> resumed;
    for (std::deque<MemoryConsumer> &queue : this->waiting) {
        while (!queue.empty()) {
            const MemoryConsumer consumer = queue.front();
            const auto found = this->rows.find(consumer);
            if (found != this->rows.end() && found->second.waiting) {
                Row &row = found->second;
                if (row.transient > this->options.allowance && !this->reserve(consumer.kind, row))
                    break;
                row.waiting = false;
                resumed.push_back(consumer);
            }
            queue.pop_front();
        }
    }
    return resumed;
}

std::vector<MemoryConsumer> MemoryBudget::overdue(TimePoint now) const
{
    const std::size_t waitingNow = this->waitingCount();
    if (this->heldBytes <= this->options.capacity && waitingNow == 0)
        return {};

    std::vector<std::pair<std::size_t, MemoryConsumer>> bySize;
    for (const auto &[consumer, row] : this->rows) {
        const std::size_t size = consumer.kind == ConsumerKind::Server ? row.kept : row.held();
        if (size > this->options.allowance)
            bySize.emplace_back(size, consumer);
    }
    std::sort(bySize.begin(), bySize.end(), std::greater<>());

    std::vector<MemoryConsumer> closed;
    std::size_t excess = this->heldBytes > this->options.capacity ? this->heldBytes - this->options.capacity : 0;
    std::size_t stuck = 0;
    for (const auto &[size, consumer] : bySize) {
        const Row &row = this->rows.at(consumer);
        const bool keepsOthersWaiting = consumer.kind != ConsumerKind::Server && !row.waiting && stuck < waitingNow
                                        && now - row.progressAt >= this->options.pressureLimit;
        if (excess == 0 && !keepsOthersWaiting)
            continue;
        closed.push_back(consumer);
        stuck += keepsOthersWaiting ? 1 : 0;
        excess -= std::min(excess, size);
    }
    return closed;
}

std::size_t MemoryBudget::waitingCount() const
{
    std::size_t count = 0;
    for (const std::deque<MemoryConsumer> &queue : this->waiting)
        count += queue.size();
    return count;
}

std::size_t MemoryBudget::limitOf(ConsumerKind kind) const
{
    return this->options.capacity / 10 * shareTenths.at(static_cast<std::size_t>(kind));
}

bool MemoryBudget::reserve(ConsumerKind kind, Row &row)
{
    const std::size_t others = this->countedBytes - row.counted();
    const std::size_t wanted = row.transient + this->options.reservation;
    // One message is always admitted: with a small capacity, nobody could be served otherwise.
    const bool onlyOne = this->reservations == (row.reserved > 0 ? 1 : 0);
    if (!onlyOne && others + row.kept + wanted > this->limitOf(kind))
        return false;
    this->reservations += row.reserved > 0 ? 0 : 1;
    this->countedBytes -= row.counted();
    row.reserved = wanted;
    this->countedBytes += row.counted();
    return true;
}

void MemoryBudget::release(Row &row)
{
    if (row.reserved == 0)
        return;
    this->countedBytes -= row.counted();
    row.reserved = 0;
    this->countedBytes += row.counted();
    this->reservations -= 1;
}

} // namespace Jujubekeel
