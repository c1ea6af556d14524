#include "admission/fairqueue.h"

#include <algorithm>

namespace Jujubekeel {

std::deque<ExecutionId> &FairQueue::line(std::string_view caller)
{
    const auto found = this->lines.find(caller);
    if (found != this->lines.end())
        return found->second;
    this->order.emplace_back(caller);
    return this->lines.emplace(caller, std::deque<ExecutionId>{}).first->second;
}

void FairQueue::push(std::string_view caller, ExecutionId execution)
{
    this->line(caller).push_back(execution);
    this->count += 1;
}

void FairQueue::pushFront(std::string_view caller, ExecutionId execution)
{
    this->line(caller).push_front(execution);
    this->count += 1;
}

bool FairQueue::remove(std::string_view caller, ExecutionId execution)
{
    const auto found = this->lines.find(caller);
    if (found == this->lines.end())
        return false;
    std::deque<ExecutionId> &waiting = found->second;
    const auto place = std::ranges::find(waiting, execution);
    if (place == waiting.end())
        return false;
    waiting.erase(place);
    this->count -= 1;
    if (waiting.empty()) {
        this->lines.erase(found);
        this->order.erase(std::ranges::find(this->order, caller));
    }
    return true;
}

std::size_t FairQueue::sizeOf(std::string_view caller) const
{
    const auto found = this->lines.find(caller);
    return found == this->lines.end() ? 0 : found->second.size();
}

} // namespace Jujubekeel
