#pragma once

#include "organisations/organisationtable.h"
#include "ratelimit/rategrantor.h"
#include "ratelimit/ratespender.h"
#include "virtualfleet/seededrandom.h"

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <queue>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace Jujubekeel {

struct RateModelOptions
{
    std::uint64_t seed = 1;
    std::size_t members = 8;
    std::size_t spenders = 20;
    RateLimit limit{.operationsPerSecond = 100, .burst = 100};
    double demand = 0.63;                               ///< of the first limit's rate
    double swing = 0;                                   ///< share by which the demand oscillates
    Duration maxViewLag{0};                             ///< of the members' and instances' views of the membership
    Duration maxTableLag{0};                            ///< between a new limit and its arrival at an instance
    Duration maxLatency = std::chrono::milliseconds(9); ///< one way
};

/// One organisation's limit in virtual time: spenders, members that grant, messages between them, and faults. Records
/// when operations ran and which were refused.
class RateModel final
{
public:
    static constexpr Duration answerTimeout = std::chrono::milliseconds(150);
    static constexpr Duration waitLimit = std::chrono::milliseconds(500);
    static constexpr Duration window = std::chrono::seconds(5);

    explicit RateModel(RateModelOptions modelOptions)
        : options(modelOptions), random(modelOptions.seed), demandRate(this->options.limit.operationsPerSecond),
          demandFactor(this->options.demand)
    {
        for (std::size_t index = 0; index < this->options.members; ++index) {
            this->members.push_back(Member{.name = "m" + std::to_string(index)});
            this->serving.insert(this->members.back().name);
        }
        this->spenders.resize(this->options.spenders);
        this->limits.push_back({TimePoint{0}, this->options.limit});
        for (std::size_t index = 0; index < this->members.size(); ++index)
            this->startMember(index, false);
        for (std::size_t index = 0; index < this->spenders.size(); ++index)
            this->startSpender(index);
        this->nextOperation();
    }

    void run(Duration duration)
    {
        const TimePoint end = this->now + duration;
        while (!this->events.empty() && this->events.top().at <= end) {
            const Event event = this->events.top();
            this->events.pop();
            this->now = event.at;
            event.run();
        }
        this->now = end;
    }
    void at(Duration delay, std::function<void()> work)
    {
        this->events.push(Event{.at = this->now + delay, .serial = ++this->serial, .run = std::move(work)});
    }

    // Faults.
    void restartMember(std::size_t index, Duration down, bool listed)
    {
        Member &member = this->members[index];
        member.grantor.reset();
        member.life += 1;
        if (!listed)
            this->setServing(member.name, false);
        this->at(down, [this, index, life = member.life] {
            if (this->members[index].life != life)
                return;
            const bool isListed = this->serving.contains(this->members[index].name);
            this->setServing(this->members[index].name, true);
            this->startMember(index, isListed);
        });
    }
    void restartSpender(std::size_t index)
    {
        Spender &spender = this->spenders[index];
        spender.life += 1;
        spender.waiting.clear();
        spender.answered.clear();
        this->startSpender(index);
    }
    void freezeMember(std::size_t index, Duration duration)
    {
        Member &member = this->members[index];
        member.frozenUntil = std::max(member.frozenUntil, this->now + duration);
    }
    void freezeSpender(std::size_t index, Duration duration)
    {
        Spender &spender = this->spenders[index];
        spender.frozenUntil = std::max(spender.frozenUntil, this->now + duration);
    }
    /// The member does not learn of changes of the membership for a time, while the others do.
    void turnAwayMember(std::size_t index, Duration duration)
    {
        Member &member = this->members[index];
        member.awayUntil = std::max(member.awayUntil, this->now + duration);
    }
    void unlistMember(std::size_t index) { this->setServing(this->members[index].name, false); }
    void listMember(std::size_t index) { this->setServing(this->members[index].name, true); }
    /// The member does not reach the instances whose number has the given remainder modulo 3.
    void cutMember(std::size_t index, std::size_t remainder, Duration duration)
    {
        this->members[index].cutFrom = remainder;
        this->members[index].cutUntil = this->now + duration;
    }
    void setLoss(std::uint32_t percent, Duration extraDelay)
    {
        this->lossPercent = percent;
        this->maxExtraDelay = extraDelay;
    }
    void setLimit(RateLimit limit)
    {
        this->limits.push_back({this->now, limit});
        const auto version = this->limits.size();
        for (std::size_t index = 0; index < this->members.size(); ++index)
            this->at(this->upTo(this->options.maxTableLag), [this, index, version] {
                Member &member = this->members[index];
                this->whenAwake(member, [this, index, version] { this->applyLimit(index, version); });
            });
    }
    void setDemand(double factor) { this->demandFactor = factor; }
    void setPeriodStart() { this->countedFrom = this->now; }

    // Results.
    [[nodiscard]] std::string violation() const
    {
        std::size_t first = 0;
        for (std::size_t last = 0; last < this->ran.size(); ++last) {
            while (this->ran[first] <= this->ran[last] - window)
                ++first;
            // A new limit is in force everywhere after 5 s at the latest.
            const double bound = this->bound(this->ran[first] - window, this->ran[last]);
            if (static_cast<double>(last - first + 1) > bound)
                return std::to_string(last - first + 1) + " operations in the 5 s before "
                       + std::to_string(this->ran[last].count()) + " us, allowed " + std::to_string(bound);
        }
        return {};
    }
    [[nodiscard]] std::size_t ranCount() const { return this->ran.size(); }

    std::size_t offered = 0;        ///< since setPeriodStart()
    std::size_t refused = 0;        ///< the same
    std::size_t wronglyRefused = 0; ///< the same, while the demand was within the limit for 1 s
    std::size_t offeredWithin = 0;  ///< the same: all operations in such times
    std::size_t requests = 0;
    std::size_t longWaits = 0; ///< waits above 100 ms
    TimePoint now{0};

private:
    struct Event
    {
        TimePoint at{0};
        std::uint64_t serial = 0;
        std::function<void()> run;
        bool operator<(const Event &other) const
        {
            return this->at != other.at ? this->at > other.at : this->serial > other.serial;
        }
    };
    struct Member
    {
        std::string name;
        std::optional<RateGrantor> grantor;
        std::uint64_t life = 0;
        std::uint64_t seen = 0; ///< version of the membership in its view
        std::size_t table = 0;
        TimePoint frozenUntil{0};
        TimePoint wasFrozenUntil{0}; ///< the last suspension that the member has noticed
        TimePoint awayUntil{0};
        std::size_t cutFrom = 0;
        TimePoint cutUntil{0};
    };
    struct Spender
    {
        RateSpender spender;
        RateRanks ranks;
        std::uint64_t life = 0;
        std::uint64_t seen = 0;
        std::deque<TimePoint> waiting;    ///< arrival of operations
        std::set<std::uint64_t> answered; ///< serials of requests whose time limit has not passed
        TimePoint frozenUntil{0};
    };
    struct Limit
    {
        TimePoint since{0};
        RateLimit limit;
    };

    static constexpr std::string_view organisation = "acme";
    static constexpr Duration verification = std::chrono::milliseconds(500); ///< between two answers of the store

    Duration upTo(Duration longest)
    {
        return longest.count() == 0 ? longest
                                    : Duration(static_cast<std::int64_t>(
                                        this->random.below(static_cast<std::uint64_t>(longest.count()))));
    }
    Duration latency()
    {
        return Duration(500) + this->upTo(this->options.maxLatency) + this->upTo(this->maxExtraDelay);
    }
    template <typename Process>
    void whenAwake(const Process &process, const std::function<void()> &work)
    {
        if (process.frozenUntil <= this->now)
            work();
        else
            this->at(process.frozenUntil - this->now + Duration(1 + this->serial % 100), work);
    }

    /// Three regions of equal size, for members and instances.
    static std::string regionOf(std::size_t index) { return "region" + std::to_string(index % 3); }
    [[nodiscard]] std::vector<RateMember> servingMembers() const
    {
        std::vector<RateMember> view;
        for (std::size_t index = 0; index < this->members.size(); ++index) {
            const std::string &name = this->members[index].name;
            if (this->serving.contains(name))
                view.push_back(RateMember{.name = name, .region = regionOf(index)});
        }
        return view;
    }

    void setServing(const std::string &name, bool serves)
    {
        if (serves == this->serving.contains(name))
            return;
        if (serves)
            this->serving.insert(name);
        else
            this->serving.erase(name);
        const std::uint64_t version = ++this->membership;
        const std::vector<RateMember> view = this->servingMembers();
        for (std::size_t index = 0; index < this->members.size(); ++index)
            this->at(this->upTo(this->options.maxViewLag), [this, index, version, view] {
                this->whenInTouch(index, [this, index, version, view] { this->show(index, version, view); });
            });
        for (std::size_t index = 0; index < this->spenders.size(); ++index)
            this->at(this->upTo(this->options.maxViewLag), [this, index, version, view] {
                this->whenAwake(this->spenders[index], [this, index, version, view] {
                    Spender &spender = this->spenders[index];
                    if (version <= spender.seen)
                        return;
                    spender.seen = version;
                    if (spender.ranks.setMembers(view))
                        spender.spender.membersChanged();
                });
            });
    }
    void show(std::size_t index, std::uint64_t version, const std::vector<RateMember> &view, bool isListed = false)
    {
        Member &member = this->members[index];
        if (!member.grantor || version <= member.seen)
            return;
        member.seen = version;
        this->notice(member);
        member.grantor->setMembers(view, isListed, this->now);
    }
    /// Runs \a work once the member neither is frozen nor turned away by the store.
    void whenInTouch(std::size_t index, const std::function<void()> &work)
    {
        const Member &member = this->members[index];
        if (member.awayUntil <= this->now)
            this->whenAwake(member, work);
        else
            this->at(member.awayUntil - this->now, [this, index, work] { this->whenInTouch(index, work); });
    }
    /// The listed members answer whether they have seen what the member has seen.
    void confirm(Member &member)
    {
        if (!member.grantor->awaitsConfirmation(this->now))
            return;
        const bool haveAllSeen = std::all_of(this->members.begin(), this->members.end(), [&](const Member &other) {
            const bool answers = other.grantor && other.frozenUntil <= this->now && other.cutUntil <= this->now;
            return !this->serving.contains(other.name) || (answers && other.seen >= member.seen);
        });
        if (haveAllSeen)
            member.grantor->changeConfirmed(this->now);
    }
    /// The store has shown the member all changes up to the longest delay ago.
    void verify(std::size_t index, std::uint64_t life)
    {
        const TimePoint verifiedAt = this->now - this->options.maxViewLag;
        Member &member = this->members[index];
        if (!member.grantor || member.life != life)
            return;
        if (member.awayUntil <= this->now && member.frozenUntil <= this->now)
            member.grantor->viewVerified(verifiedAt);
        this->confirm(member);
        this->at(verification, [this, index, life] { this->verify(index, life); });
    }
    /// \a isListed: the registration of before its restart is still there.
    void startMember(std::size_t index, bool isListed)
    {
        Member &member = this->members[index];
        member.awayUntil = TimePoint{0};
        member.grantor.emplace(RateGrantorOptions{.instance = member.name, .isFirstStart = this->now == TimePoint{0}});
        member.grantor->viewVerified(this->now);
        this->at(verification, [this, index, life = member.life] { this->verify(index, life); });
        member.frozenUntil = TimePoint{0};
        member.wasFrozenUntil = TimePoint{0};
        member.seen = 0;
        member.table = 0;
        const std::vector<RateMember> view = this->servingMembers();
        this->show(index, this->membership, view, isListed);
        this->applyLimit(index, this->limits.size());
    }
    void startSpender(std::size_t index)
    {
        Spender &spender = this->spenders[index];
        spender.spender = RateSpender();
        spender.ranks = RateRanks();
        spender.seen = this->membership;
        spender.frozenUntil = TimePoint{0};
        spender.ranks.setMembers(this->servingMembers());
    }
    void applyLimit(std::size_t index, std::size_t version)
    {
        Member &member = this->members[index];
        if (!member.grantor || version <= member.table)
            return;
        member.table = version;
        this->notice(member);
        OrganisationTable table(version);
        table.add(Organisation{.name = std::string(organisation), .limit = this->limits[version - 1].limit}, {});
        member.grantor->setTable(table, this->now);
    }
    /// A member that was suspended learns so from its clock before it handles anything else.
    void notice(Member &member)
    {
        if (member.frozenUntil <= member.wasFrozenUntil)
            return;
        member.wasFrozenUntil = member.frozenUntil;
        member.grantor->resumed(this->now);
    }

    void nextOperation()
    {
        double rate = this->demandRate * this->demandFactor;
        rate *= 1 + this->options.swing * swingAt(this->now);
        const double gap = rate <= 0 ? 0.01 : this->exponential() / rate;
        this->at(std::max(Duration(1), Duration(static_cast<std::int64_t>(gap * 1e6))), [this, rate] {
            if (rate > 0)
                this->operation(this->random.below(this->spenders.size()));
            this->nextOperation();
        });
    }
    /// A triangular wave of 11 s between -1 and 1.
    static double swingAt(TimePoint time)
    {
        const double phase = static_cast<double>(time.count() % 11'000'000) / 11e6;
        return phase < 0.5 ? 4 * phase - 1 : 3 - 4 * phase;
    }
    double exponential()
    {
        const double even = (static_cast<double>(this->random.below(1'000'000)) + 1) / 1'000'001;
        return -std::log(even);
    }

    void operation(std::size_t index)
    {
        Spender &spender = this->spenders[index];
        // Callers of a frozen instance do not get new connections.
        if (spender.frozenUntil > this->now)
            return;
        this->measureDemand();
        this->count(this->offered, this->offeredWithin);
        const RateDecision decision = spender.spender.tryTake(organisation, this->now);
        if (decision.verdict == RateVerdict::Wait) {
            spender.waiting.push_back(this->now);
            this->at(waitLimit, [this, index] {
                this->whenAwake(this->spenders[index], [this, index] { this->expireWaiting(index); });
            });
        } else {
            this->finish(decision, this->now);
        }
        this->sendRequests(index);
    }
    void expireWaiting(std::size_t index)
    {
        Spender &spender = this->spenders[index];
        while (!spender.waiting.empty() && spender.waiting.front() + waitLimit <= this->now) {
            spender.waiting.pop_front();
            spender.spender.removeWaiting(organisation);
            this->count(this->refused, this->wronglyRefused);
        }
    }
    void finish(const RateDecision &decision, TimePoint arrivedAt)
    {
        if (decision.verdict == RateVerdict::Taken)
            this->ran.push_back(this->now);
        else
            this->count(this->refused, this->wronglyRefused);
        this->longWaits += this->now - arrivedAt > std::chrono::milliseconds(100) ? 1 : 0;
    }
    void count(std::size_t &all, std::size_t &within)
    {
        if (this->countedFrom > this->now)
            return;
        all += 1;
        if (this->now - this->exceededAt > std::chrono::seconds(1))
            within += 1;
    }
    /// Notes whether the demand exceeds the limit by more than half a second's worth, or four operations.
    void measureDemand()
    {
        const double rate = this->limits.back().limit.operationsPerSecond;
        const double elapsed = static_cast<double>((this->now - this->measuredAt).count()) / 1e6;
        this->measuredAt = this->now;
        this->unused = std::min(this->unused + elapsed * rate, std::max(4.0, rate / 2)) - 1;
        if (this->unused >= 0)
            return;
        this->unused = 0;
        this->exceededAt = this->now;
    }
    void sendRequests(std::size_t index)
    {
        Spender &spender = this->spenders[index];
        while (const auto request = spender.spender.nextRequest(this->now)) {
            this->requests += 1;
            this->at(answerTimeout, [this, index, request, life = spender.life] {
                this->whenAwake(this->spenders[index], [this, index, request, life] {
                    if (this->spenders[index].life == life)
                        this->answered(index, *request, std::nullopt);
                });
            });
            const RateMember self{.name = "i" + std::to_string(index), .region = regionOf(index)};
            const std::string_view name = spender.ranks.askOrder(organisation, self)[request->place];
            const auto member = std::find_if(this->members.begin(), this->members.end(),
                                             [&](const Member &other) { return other.name == name; });
            if (member == this->members.end())
                continue;
            const auto target = static_cast<std::size_t>(member - this->members.begin());
            if (this->isCut(*member, index) || this->random.chance(this->lossPercent))
                continue;
            this->at(this->latency(), [this, index, target, request, life = spender.life] {
                this->whenAwake(this->members[target],
                                [this, index, target, request, life] { this->handle(target, index, *request, life); });
            });
        }
    }
    [[nodiscard]] bool isCut(const Member &member, std::size_t spender) const
    {
        return this->now < member.cutUntil && spender % 3 == member.cutFrom;
    }
    void handle(std::size_t target, std::size_t index, const RateRequest &request, std::uint64_t life)
    {
        Member &member = this->members[target];
        if (!member.grantor)
            return;
        this->notice(member);
        const RateGrant grant = member.grantor->grant(organisation, request.wanted, this->now);
        if (this->isCut(member, index) || this->random.chance(this->lossPercent))
            return;
        this->at(this->latency(), [this, index, request, grant, life] {
            this->whenAwake(this->spenders[index], [this, index, request, grant, life] {
                if (this->spenders[index].life == life)
                    this->answered(index, request, grant);
            });
        });
    }
    void answered(std::size_t index, const RateRequest &request, const std::optional<RateGrant> &grant)
    {
        Spender &spender = this->spenders[index];
        if (grant) {
            spender.answered.insert(request.serial);
            spender.spender.granted(request, *grant, this->now);
        } else if (spender.answered.erase(request.serial) == 0) {
            spender.spender.unanswered(request, this->now);
        }
        while (!spender.waiting.empty()) {
            const RateDecision decision = spender.spender.takeWaiting(organisation, this->now);
            if (decision.verdict == RateVerdict::Wait)
                break;
            this->finish(decision, spender.waiting.front());
            spender.waiting.pop_front();
        }
        this->sendRequests(index);
    }

    /// Greatest bound of the limits in force in a period.
    [[nodiscard]] double bound(TimePoint from, TimePoint to) const
    {
        double greatest = 0;
        for (std::size_t index = 0; index < this->limits.size(); ++index) {
            const bool ended = index + 1 < this->limits.size() && this->limits[index + 1].since < from;
            if (ended || this->limits[index].since > to)
                continue;
            const RateLimit &limit = this->limits[index].limit;
            greatest = std::max(greatest, (limit.operationsPerSecond * 5 + limit.burst) * 1.1 + 20);
        }
        return greatest;
    }

    RateModelOptions options;
    SeededRandom random;
    std::vector<Member> members;
    std::vector<Spender> spenders;
    std::set<std::string> serving; ///< as the store has it
    std::uint64_t membership = 1;
    std::vector<Limit> limits;
    double unused = 0; ///< operations within the limit that were not demanded
    TimePoint measuredAt{0};
    TimePoint exceededAt{0}; ///< when the demand was last above the limit
    std::vector<TimePoint> ran;
    double demandRate;
    double demandFactor;
    std::uint32_t lossPercent = 0;
    Duration maxExtraDelay{0};
    TimePoint countedFrom = TimePoint::max();
    std::priority_queue<Event> events;
    std::uint64_t serial = 0;
};

} // namespace Jujubekeel
