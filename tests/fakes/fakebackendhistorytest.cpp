#include "fakes/fakegroup.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <map>
#include <random>
#include <set>

namespace Jujubekeel {

namespace {

using namespace std::chrono_literals;

const std::array<std::string, 3> names{"a", "b", "c"};

/// Runs random sequences of writes, barriers, network partitions and promotions, with a promoter that follows the
/// protocol.
class RandomHistory final
{
public:
    explicit RandomHistory(std::uint32_t seed)
        : random(seed), settleOneIn(seed % 2 == 0 ? 1 : 4),
          group({.lockTimeout = 1h, .appendBatch = seed % 2 == 0 ? 3U : 1U})
    {
    }

    void run(int steps)
    {
        for (int step = 0; step < steps; ++step) {
            switch (this->pick(8)) {
            case 0:
                this->changePartition();
                break;
            case 1:
                this->promote();
                break;
            case 2:
                this->group.run(std::chrono::milliseconds(this->pick(2) == 0 ? this->pick(4) : this->pick(60)));
                break;
            default:
                this->write(names[this->pick(names.size())]);
            }
        }
        for (const std::string &name : names)
            this->group.heal(name);
        this->isolated.clear();
        this->promote();
        this->group.run(300ms);
    }

    /// Checks that every server holds the same log, with each confirmed write in it once and no write that was found
    /// absent.
    void check()
    {
        const auto log = this->group.server("a").log();
        std::map<std::string, int> counts;
        for (const auto &entry : log)
            ++counts[entry.requestKey];
        for (const std::string &key : this->confirmed)
            EXPECT_EQ(counts[key], 1) << key;
        for (const std::string &key : this->absent)
            EXPECT_EQ(counts[key], 0) << key;
        for (const std::string &name : names) {
            const auto other = this->group.server(name).log();
            ASSERT_EQ(other.size(), log.size()) << name;
            for (std::size_t index = 0; index < log.size(); ++index)
                EXPECT_EQ(other[index].requestKey, log[index].requestKey) << name << " at " << index + 1;
        }
    }

    [[nodiscard]] std::size_t confirmedCount() const { return this->confirmed.size(); }
    /// Writes that were accepted, not confirmed, and found absent under a confirmed newer term.
    [[nodiscard]] std::size_t discardedCount() const { return this->absent.size() - this->refused; }
    [[nodiscard]] int promotionCount() const { return this->promotions; }

private:
    std::size_t pick(std::size_t count)
    {
        return std::uniform_int_distribution<std::size_t>(0, count - 1)(this->random);
    }

    /// Reconnects all servers, then isolates one or none from the others and from the promoter.
    void changePartition()
    {
        for (const std::string &name : this->isolated)
            this->group.heal(name);
        this->isolated.clear();
        if (this->pick(2) == 0) {
            this->isolated.insert(names[this->pick(names.size())]);
            this->group.isolate(*this->isolated.begin());
        }
    }

    BackendAnswer control(const std::string &name, const BackendRequest &request)
    {
        const std::uint64_t session = this->group.openControl(name);
        BackendAnswer answer = this->group.sendAndWait(name, session, request);
        this->group.close(name, session);
        return answer;
    }

    void write(const std::string &name)
    {
        if (!this->work.contains(name))
            this->work[name] = this->group.openWork(name);
        const std::string key = "key" + std::to_string(++this->writes);
        const BackendAnswer answer = this->group.sendAndWait(name, this->work[name],
                                                             {.operation = BackendOperation::Execute,
                                                              .statement = "append list " + key,
                                                              .write = true,
                                                              .requestKey = key});
        if (answer.code == BackendStatusCode::NotLockHolder || answer.code == BackendStatusCode::WrongTerm
            || answer.code == BackendStatusCode::NotPrimary) {
            this->absent.insert(key);
            ++this->refused;
            return;
        }
        ASSERT_EQ(answer.code, BackendStatusCode::Ok);
        this->unconfirmed[key] = answer.position.term;
        if (this->pick(2) == 0)
            return;
        const BackendAnswer barrier = this->control(
            name, {.operation = BackendOperation::Barrier, .position = answer.position.position, .wait = 20ms});
        if (barrier.code == BackendStatusCode::Ok && barrier.position.term == answer.position.term) {
            this->confirmed.insert(key);
            this->unconfirmed.erase(key);
        }
    }

    void promote()
    {
        const std::uint64_t newTerm = ++this->term;
        std::vector<std::string> fenced;
        for (const std::string &name : names) {
            // Some fences reach only a part of the group.
            if (this->isolated.contains(name) || (this->pick(8) == 0 && !this->isolated.empty()))
                continue;
            if (this->control(name, {.operation = BackendOperation::Fence, .term = newTerm}).code
                == BackendStatusCode::Ok)
                fenced.push_back(name);
        }
        if (fenced.size() < 2)
            return;
        const std::string best = *std::ranges::max_element(
            fenced, {}, [&](const std::string &name) { return this->group.status(name).received; });
        ASSERT_EQ(this->control(best, {.operation = BackendOperation::Promote, .term = newTerm}).code,
                  BackendStatusCode::Ok);
        ++this->promotions;
        for (const std::string &name : fenced) {
            if (name != best && this->pick(3) != 0)
                this->control(name, {.operation = BackendOperation::Follow, .term = newTerm, .primary = best});
        }

        // Otherwise the next fault comes before the replicas have caught up.
        if (this->pick(this->settleOneIn) != 0)
            return;

        // A write that the new primary does not hold is known to be absent once a barrier has confirmed the new term.
        std::set<std::string> missing;
        for (const auto &[key, writtenIn] : this->unconfirmed) {
            const BackendAnswer found =
                this->control(best, {.operation = BackendOperation::LookupKey, .requestKey = key, .term = newTerm});
            if (writtenIn < newTerm && found.code == BackendStatusCode::KeyNotFound)
                missing.insert(key);
        }
        if (this->control(best, {.operation = BackendOperation::Barrier, .wait = 50ms}).code == BackendStatusCode::Ok)
            this->absent.insert(missing.begin(), missing.end());
    }

    std::mt19937 random;
    std::size_t settleOneIn = 1; ///< one in this many promotions looks up unconfirmed writes and waits for a barrier
    FakeGroup group;
    std::set<std::string> isolated;
    std::map<std::string, std::uint64_t> work;
    std::set<std::string> confirmed;
    std::set<std::string> absent;                     ///< refused, or found absent under a confirmed newer term
    std::map<std::string, std::uint64_t> unconfirmed; ///< written without confirmation: key and term
    std::uint64_t term = 1;
    int writes = 0;
    std::size_t refused = 0;
    int promotions = 0;
};

// Guards against lost confirmed writes, discarded writes that reappear, and servers whose logs do not converge. Random
// histories reach orders of partitions and promotions that the other tests do not cover.
TEST(FakeBackendHistory, ConfirmedWritesSurviveAndDiscardedOnesDoNotReappear)
{
    std::size_t confirmed = 0;
    std::size_t discarded = 0;
    int promotions = 0;
    for (std::uint32_t seed = 1; seed <= 300 && !HasFailure(); ++seed) {
        SCOPED_TRACE("seed " + std::to_string(seed));
        RandomHistory history(seed);
        history.run(80);
        history.check();
        confirmed += history.confirmedCount();
        discarded += history.discardedCount();
        promotions += history.promotionCount();
    }
    // The histories must contain enough of the cases that they check.
    EXPECT_GT(confirmed, 1000U);
    EXPECT_GT(discarded, 200U);
    EXPECT_GT(promotions, 1000);
    RecordProperty("confirmed", static_cast<int>(confirmed));
    RecordProperty("discarded", static_cast<int>(discarded));
    RecordProperty("promotions", promotions);
}

} // namespace

} // namespace Jujubekeel
