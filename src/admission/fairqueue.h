#pragma once

#include "core/connectionrow.h"

#include <cstddef>
#include <deque>
#include <map>
#include <string>
#include <string_view>

namespace Jujubekeel {

/// Waiting executions of one backend server: equal shares for all callers, first come first served within a caller.
/// Owned by World, one for each backend server; written by ExecutionSystem.
class FairQueue final
{
public:
    void push(std::string_view caller, ExecutionId execution);
    /// Puts an execution back to the front of its caller's line; used when the server refused it for lack of a slot.
    void pushFront(std::string_view caller, ExecutionId execution);
    /// Takes the next execution that \a accept(execution) allows, round robin over callers; an invalid id if there is
    /// none. A caller whose first execution is not accepted is passed over.
    template <typename Accept>
    ExecutionId take(Accept &&accept);
    /// Removes one execution, wherever it stands. Returns false if it is not in the queue.
    bool remove(std::string_view caller, ExecutionId execution);

    [[nodiscard]] std::size_t size() const { return this->count; }
    [[nodiscard]] std::size_t sizeOf(std::string_view caller) const;

private:
    std::deque<ExecutionId> &line(std::string_view caller);

    std::map<std::string, std::deque<ExecutionId>, std::less<>> lines; ///< only callers that have work waiting
    std::deque<std::string> order;                                     ///< callers in round-robin order
    std::size_t count = 0;
};

template <typename Accept>
ExecutionId FairQueue::take(Accept &&accept)
{
    for (std::size_t turn = 0; turn < this->order.size(); ++turn) {
        const auto found = this->lines.find(this->order[turn]);
        std::deque<ExecutionId> &waiting = found->second;
        const ExecutionId execution = waiting.front();
        if (!accept(execution))
            continue;

        // The caller goes to the end of the round, or out of it if nothing else of it waits.
        waiting.pop_front();
        this->count -= 1;
        std::string caller = std::move(this->order[turn]);
        this->order.erase(this->order.begin() + static_cast<std::ptrdiff_t>(turn));
        if (waiting.empty())
            this->lines.erase(found);
        else
            this->order.push_back(std::move(caller));
        return execution;
    }
    return ExecutionId{};
}

} // namespace Jujubekeel
