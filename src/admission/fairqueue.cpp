#include "admission/fairqueue.h"

#include <algorithm>

namespace Jujubekeel {

std::deque<ExecutionId> &FairQueue::queueOf(std::string_view caller)
{
    const auto found = this->queues.find(caller);
    if (found != this->queues.end())
        return found->second;
    this->order.emplace_back(caller);
    return this->queues.emplace(caller, std::deque<ExecutionId>{}).first->second;
}

void FairQueue::push(std::string_view caller, ExecutionId execution)
{
    this->queueOf(caller).push_back(execution);
    this->count += 1;
}

void FairQueue::pushFront(std::string_view caller, ExecutionId execution)
{
    this->queueOf(caller).push_front(execution);
    this->count += 1;
}

bool FairQueue::remove(std::string_view caller, ExecutionId execution)
{
    const auto found = this->queues.find(caller);
    if (found == this->queues.end())
        return false;
    std::deque<ExecutionId> &waiting = found->second;
    const auto place = std::ranges::find(waiting, execution);
    if (place == waiting.end())
        return false;
    waiting.erase(place);
    this->count -= 1;
    if (waiting.empty()) {
        this->queues.erase(found);
        this->order.erase(std::ranges::find(this->order, caller));
    }
    return true;
}

std::size_t FairQueue::sizeOf(std::string_view caller) const
{
    const auto found = this->queues.find(caller);
    return found == this->queues.end() ? 0 : found->second.size();
}

} // namespace Jujubekeel
