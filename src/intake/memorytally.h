#pragma once

#include <atomic>
#include <cstddef>

namespace Jujubekeel {

/// Sum of the bytes that several threads hold, for MemoryBudget, which belongs to the event loop. Owned by EntryStore;
/// any thread.
class MemoryTally final
{
public:
    /// What one holder adds to the sum. Used by one thread at a time; the tally must outlive it.
    class Share final
    {
    public:
        /// A null \a memoryTally counts nothing.
        explicit Share(MemoryTally *memoryTally) : tally(memoryTally) {}
        ~Share() { this->set(0); }
        Share(const Share &) = delete;
        Share &operator=(const Share &) = delete;

        void set(std::size_t held)
        {
            if (this->tally != nullptr)
                this->tally->bytes += held - this->counted;
            this->counted = held;
        }

    private:
        MemoryTally *tally;
        std::size_t counted = 0;
    };

    [[nodiscard]] std::size_t total() const { return this->bytes; }

private:
    std::atomic<std::size_t> bytes{0};
};

} // namespace Jujubekeel
