#pragma once

#include "virtualpool/poolchecker.h"
#include "virtualpool/poolworkload.h"
#include "virtualpool/virtualpool.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace Jujubekeel {

/// Sends one statement and waits for its reply, for up to 8 s of virtual time.
inline CallerReply runStatement(VirtualPool &pool, VirtualPool::CallerId caller, StatementKind kind,
                                const std::string &id, const std::string &text, const std::string &name = {},
                                const std::string &argument = {})
{
    const std::size_t before = pool.caller(caller).replies.size();
    pool.send(caller, Statement{.kind = kind, .id = id, .text = text, .name = name, .argument = argument});
    for (int step = 0; step < 8000 && pool.caller(caller).replies.size() == before; ++step)
        pool.run(std::chrono::milliseconds(1));
    EXPECT_GT(pool.caller(caller).replies.size(), before) << "no answer to " << id;
    return pool.caller(caller).replies.size() > before ? pool.caller(caller).replies.back() : CallerReply{};
}

inline std::string joined(const std::vector<std::string> &lines)
{
    std::string text;
    for (const std::string &line : lines)
        text += line + "\n";
    return text;
}

/// A pool under load for 12 s. finish() lets the load end and checks the guarantees for all operations.
class LoadedPool
{
public:
    explicit LoadedPool(std::uint64_t seed = 1, VirtualPoolOptions options = {})
        : pool([&] {
              options.seed = seed;
              return options;
          }()),
          workload(this->pool, {.seed = seed})
    {
        this->pool.run(std::chrono::seconds(2));
        this->end = this->pool.now() + std::chrono::seconds(12);
        this->workload.start(this->end);
    }

    void finish()
    {
        this->pool.run(std::chrono::seconds(20));
        EXPECT_EQ(joined(findViolations(this->pool.group(), this->workload)), "");
    }
    [[nodiscard]] std::size_t answered() const
    {
        const auto &all = this->workload.operations();
        return static_cast<std::size_t>(
            std::count_if(all.begin(), all.end(), [](const PoolOperation &entry) { return entry.answered; }));
    }
    /// Longest time without an acknowledged write, from \a from to the end of the load.
    [[nodiscard]] Duration writeGap(TimePoint from) const { return this->workload.longestWriteGap(from, this->end); }

    /// From \a start to the first acknowledged operation that ended after it; empty if there is none.
    [[nodiscard]] std::optional<Duration> firstAcknowledgedAfter(TimePoint start) const
    {
        const auto &all = this->workload.operations();
        const auto first = std::find_if(all.begin(), all.end(), [&](const PoolOperation &entry) {
            return entry.acknowledged && entry.endedAt > start;
        });
        return first == all.end() ? std::nullopt : std::optional(first->endedAt - start);
    }

    VirtualPool pool;
    PoolWorkload workload;
    TimePoint end{0};
};

} // namespace Jujubekeel
