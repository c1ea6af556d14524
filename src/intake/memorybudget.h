#pragma once

#include "core/time.h"

#include <array>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <vector>

namespace Jujubekeel {

/// Kinds of connections, in the order in which the budget runs out for them.
enum class ConsumerKind : std::uint8_t {
    Caller,
    Relay,  ///< another instance, which relays work that it has admitted
    Server, ///< a backend server, or a member to which this instance relays
};
inline constexpr std::size_t consumerKinds = 3;

/// A connection. Each byte that the process keeps for others is counted for one of them.
struct MemoryConsumer
{
    ConsumerKind kind = ConsumerKind::Caller;
    std::uint64_t id = 0; ///< unique within the kind

    auto operator<=>(const MemoryConsumer &) const = default;
};

struct MemoryBudgetOptions
{
    std::size_t capacity = std::size_t{64} * 1024 * 1024; ///< bytes for all consumers
    std::size_t allowance = std::size_t{32} * 1024;       ///< bytes that every consumer may hold without a reservation
    /// Bytes that a larger message takes: it is kept while it arrives, as a statement, and on the way to its server.
    std::size_t reservation = std::size_t{3} * 1024 * 1024;
    /// While others wait for a reservation, a holder that has released nothing for this long is closed.
    Duration pressureLimit = std::chrono::seconds(3);
};

/// Decides who may send more to this process, and who is closed to keep it within its memory. Counts bytes that are
/// held and, for large messages under way, bytes that are reserved for the rest, so that a message that was begun can
/// be completed. Owned by EntryDaemon; uses no clock or socket.
class MemoryBudget final
{
public:
    explicit MemoryBudget(MemoryBudgetOptions budgetOptions) : options(budgetOptions) {}

    void add(MemoryConsumer consumer, TimePoint now);
    void remove(MemoryConsumer consumer);
    /// Bytes held for a consumer: \a transient ones are released when its work is complete, \a kept ones (prepared
    /// statements, session values) when its session ends.
    void setHeld(MemoryConsumer consumer, std::size_t transient, std::size_t kept, TimePoint now);
    /// Whether more may be read from the consumer. If not, takeResumed() returns it as soon as it may.
    [[nodiscard]] bool mayRead(MemoryConsumer consumer);
    /// Consumers that had to wait and may be read from again, in the order in which they began to wait.
    [[nodiscard]] std::vector<MemoryConsumer> takeResumed();
    /// Consumers to close now, largest first: while more is held than the capacity, and those that keep others waiting.
    /// A server is named only for what its session keeps.
    [[nodiscard]] std::vector<MemoryConsumer> overdue(TimePoint now) const;

    [[nodiscard]] std::size_t capacity() const { return this->options.capacity; }
    [[nodiscard]] std::size_t held() const { return this->heldBytes; }
    [[nodiscard]] std::size_t waitingCount() const;

private:
    struct Row
    {
        std::size_t transient = 0;
        std::size_t kept = 0;
        std::size_t reserved = 0; ///< for transient bytes, including those that are held; 0: no reservation
        bool waiting = false;
        TimePoint progressAt{0}; ///< when it last released bytes, or began to hold more than the allowance

        [[nodiscard]] std::size_t held() const { return this->transient + this->kept; }
        [[nodiscard]] std::size_t counted() const;
    };

    [[nodiscard]] std::size_t limitOf(ConsumerKind kind) const;
    /// Reserves what the consumer needs for one more message, if there is room.
    bool reserve(ConsumerKind kind, Row &row);
    void release(Row &row);

    MemoryBudgetOptions options;
    std::map<MemoryConsumer, Row> rows;
    std::array<std::deque<MemoryConsumer>, consumerKinds> waiting; ///< may name consumers that no longer wait
    std::size_t heldBytes = 0;
    std::size_t countedBytes = 0; ///< held or reserved
    std::size_t reservations = 0;
};

} // namespace Jujubekeel
