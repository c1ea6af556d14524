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

/// Replaces the core in a test: queues the inputs that the tested class posts. Owned by the test; any thread.
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
    /// Waits for the next input; std::nullopt if none arrives within 10 s.
    std::optional<Input> next()
    {
        std::unique_lock lock(this->mutex);
        if (!this->changed.wait_for(lock, std::chrono::seconds(10), [this] { return !this->inputs.empty(); }))
            return std::nullopt;
        Input input = std::move(this->inputs.front());
        this->inputs.pop_front();
        return input;
    }
    /// Waits for the next input; throws std::runtime_error if none arrives within 10 s or it has another type.
    template <typename Content>
    Content nextOf()
    {
        auto input = this->next();
        if (!input || !std::holds_alternative<Content>(*input))
            throw std::runtime_error("no input within 10 s, or an input of another type");
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

/// Polls a condition until it is true; returns false if it is still false after 10 s.
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
