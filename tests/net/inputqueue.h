#pragma once

#include "core/input.h"

#include <chrono>
#include <condition_variable>
#include <deque>
#include <mutex>
#include <optional>
#include <stdexcept>
#include <thread>
#include <utility>

namespace Jujubekeel {

/// Takes the place of the core: keeps the inputs that the tested class posts. Owned by a test; any thread.
class InputQueue final
{
public:
    void post(Input input)
    {
        {
            const std::scoped_lock lock(this->mutex);
            this->inputs.push_back(std::move(input));
        }
        this->changed.notify_all();
    }
    /// Waits for the next input; empty if none came within ten seconds, which no test expects.
    std::optional<Input> next()
    {
        std::unique_lock lock(this->mutex);
        if (!this->changed.wait_for(lock, std::chrono::seconds(10), [this] { return !this->inputs.empty(); }))
            return std::nullopt;
        Input input = std::move(this->inputs.front());
        this->inputs.pop_front();
        return input;
    }
    /// Waits for the next input, which must be of this type.
    template <typename Content>
    Content nextOf()
    {
        auto input = this->next();
        if (!input || !std::holds_alternative<Content>(*input))
            throw std::runtime_error("the expected input did not come");
        return std::get<Content>(std::move(*input));
    }
    [[nodiscard]] bool isEmpty() const
    {
        const std::scoped_lock lock(this->mutex);
        return this->inputs.empty();
    }

private:
    mutable std::mutex mutex;
    std::condition_variable changed;
    std::deque<Input> inputs;
};

/// Repeats a check until it holds, at most ten seconds.
template <typename Condition>
bool eventually(Condition &&condition)
{
    const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(10);
    while (!condition()) {
        if (std::chrono::steady_clock::now() > end)
            return false;
        std::this_thread::sleep_for(std::chrono::milliseconds(2));
    }
    return true;
}

} // namespace Jujubekeel
