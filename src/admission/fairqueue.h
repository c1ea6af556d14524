#pragma once

#include "core/connectionrow.h"

#include <cstddef>
#include <deque>
#include <map>
#include <string>
#include <string_view>

namespace Jujubekeel {

/// Queue of the executions that wait for one backend server: round robin over callers, first in first out for each
/// caller. Owned by World, one for each backend server; written by ExecutionSystem.
class FairQueue final
{
public:
    void push(std::string_view caller, ExecutionId execution);
    /// Puts an execution back at the front of its caller's queue; used when the server had no free slot for it.
    void pushFront(std::string_view caller, ExecutionId execution);
    /// Removes and returns the next execution, round robin over callers; an invalid id if there is none. A caller is
    /// skipped if \a accept(execution) is false for its first execution.
    template <typename Accept>
    ExecutionId take(Accept &&accept);
    /// Removes one execution at any place of the queue. Returns false if it is not in the queue.
    bool remove(std::string_view caller, ExecutionId execution);

    [[nodiscard]] std::size_t size() const { return this->count; }
    [[nodiscard]] std::size_t sizeOf(std::string_view caller) const;

private:
    std::deque<ExecutionId> &queueOf(std::string_view caller);

    std::map<std::string, std::deque<ExecutionId>, std::less<>> queues; ///< only callers with waiting work
    std::deque<std::string> order;                                      ///< callers in round-robin order
    std::size_t count = 0;
};

template <typename Accept>
ExecutionId FairQueue::take(Accept &&accept)
{
    for (std::size_t turn = 0; turn < this->order.size(); ++turn) {
        const auto found = this->queues.find(this->order[turn]);
        std::deque<ExecutionId> &waiting = found->second;
        const ExecutionId execution = waiting.front();
        if (!accept(execution))
            continue;

        // The caller moves to the end of the round-robin order, or leaves it if it has no more waiting work.
        waiting.pop_front();
        this->count -= 1;
        std::string caller = std::move(this->order[turn]);
        this->order.erase(this->order.begin() + static_cast<std::ptrdiff_t>(turn));
        if (waiting.empty())
            this->queues.erase(found);
        else
            this->order.push_back(std::move(caller));
        return execution;
    }
    return ExecutionId{};
}

} // namespace Jujubekeel
