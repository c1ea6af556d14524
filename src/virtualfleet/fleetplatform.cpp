#include "virtualfleet/fleetplatform.h"

#include "virtualfleet/virtualfleet.h"

#include <algorithm>
#include <sstream>
#include <utility>

namespace Jujubekeel {

namespace {

constexpr Duration platformLatency = std::chrono::milliseconds(3);
// The initial instance list and rules are stored before the fleet starts, so that they are in force from its start.
constexpr TimePoint platformStart = std::chrono::seconds(1);
constexpr std::uint64_t operatorClient = std::uint64_t{1}
                                         << 48U; // client numbers of operators start after those of proxies
constexpr Duration operatorTimeout = std::chrono::seconds(1);

std::uint64_t platformClient(std::uint32_t proxy, std::uint64_t incarnation)
{
    return (std::uint64_t{proxy} << 32U) | incarnation;
}

PlatformAnswer unavailable(std::uint64_t call)
{
    PlatformAnswer answer;
    answer.call = call;
    answer.code = PlatformStatusCode::Unavailable;
    return answer;
}

/// Names of the servers that a rule text marks as leaving.
std::vector<std::string> leavingServers(const std::string &text)
{
    std::vector<std::string> names;
    std::istringstream lines(text);
    for (std::string line; std::getline(lines, line);) {
        std::istringstream words(line);
        std::string verb;
        std::string kind;
        std::string name;
        if (words >> verb >> kind >> name && verb == "leaving" && kind == "backend")
            names.push_back(name);
    }
    return names;
}

} // namespace

FleetPlatform::FleetPlatform(const VirtualFleetOptions &newOptions, EventQueue &newQueue, FleetLinks &newLinks,
                             FleetTraffic &newTraffic, Deliver newDeliver)
    : options(newOptions), queue(newQueue), links(newLinks), traffic(newTraffic), deliver(std::move(newDeliver)),
      node(static_cast<std::uint32_t>(this->options.layout.instances.size() + this->options.layout.backends.size())),
      platform(FakePlatformOptions{.latency = platformLatency, .listLag = this->options.listLag})
{
    // Store the instance list and the initial rules.
    for (const InstanceSettings &instance : this->options.layout.instances)
        this->platform.setInstance(platformStart, instance.name, false);
    if (!this->options.rules.empty()) {
        RuleOperator first("rules/" + this->options.layout.user, "first", 1, this->options.rules);
        while (!first.isDone()) {
            this->platform.call(platformStart, operatorClient, first.nextCall(this->nextOperatorCall++));
            this->platform.advance(platformStart + platformLatency);
            for (const FakePlatformOutput &output : this->platform.takeOutputs())
                first.handle(output.answer);
        }
        this->ruleChanges.push_back(HistoryRuleChange{.version = first.acceptedVersion(),
                                                      .acceptedAt = this->queue.now(),
                                                      .leaving = leavingServers(this->options.rules)});
    }
    this->platform.advance(this->queue.now());
}

void FleetPlatform::call(std::uint32_t proxy, std::uint64_t incarnation, const PlatformCall &call)
{
    this->traffic.platformCalls += 1;
    const std::uint64_t client = platformClient(proxy, incarnation);
    this->pendingCalls[{client, call.call}] = PendingCall{.proxy = proxy, .incarnation = incarnation};

    // The daemon fails a call after its own timeout.
    this->queue.add(this->queue.now() + call.wait + this->options.platformTimeout,
                    [this, client, proxy, incarnation, number = call.call] {
                        if (this->pendingCalls.erase({client, number}) == 0)
                            return;
                        this->traffic.platformFailures += 1;
                        this->deliver(proxy, incarnation, PlatformAnswered{.answer = unavailable(number)});
                    });
    if (this->links.isCut(proxy, this->node))
        return;
    this->queue.add(this->queue.now() + this->links.delay(), [this, client, call] {
        this->platform.call(this->queue.now(), client, call);
        this->flush();
    });
}

void FleetPlatform::setLeaving(std::uint32_t proxy, bool leaving)
{
    this->platform.setInstance(this->queue.now(), this->options.layout.instances[proxy].name, leaving);
}

void FleetPlatform::setDown(bool down)
{
    this->platform.setDown(down);
    this->impaired = down;
}

void FleetPlatform::setLatency(Duration latency)
{
    this->platform.setLatency(latency);
    this->impaired = latency > platformLatency;
}

void FleetPlatform::loseAnswers(std::uint32_t count)
{
    this->platform.loseAnswers(count);
}

void FleetPlatform::restore()
{
    this->platform.setDown(false);
    this->platform.setLatency(platformLatency);
    this->impaired = false;
}

void FleetPlatform::startOperator(const std::string &author, const std::string &text)
{
    this->operators.emplace_back("rules/" + this->options.layout.user, author, this->operators.size() + 2, text);
    this->runOperator(this->operators.size() - 1);
}

void FleetPlatform::flush()
{
    for (FakePlatformOutput &output : this->platform.takeOutputs()) {
        if (output.client >= operatorClient) {
            const std::size_t number = output.client - operatorClient;
            if (number < this->operators.size() && !this->operators[number].isDone()) {
                this->operators[number].handle(output.answer);
                this->operatorAnswered(number);
            }
            continue;
        }
        const std::uint64_t client = output.client;
        const auto wait = this->pendingCalls.find({client, output.answer.call});
        if (wait == this->pendingCalls.end() || this->links.isCut(wait->second.proxy, this->node))
            continue;
        this->queue.add(this->queue.now() + this->links.delay(), [this, client, answer = std::move(output.answer)] {
            const auto found = this->pendingCalls.find({client, answer.call});
            if (found == this->pendingCalls.end() || this->links.isCut(found->second.proxy, this->node))
                return;
            const PendingCall target = found->second;
            this->pendingCalls.erase(found);
            this->deliver(target.proxy, target.incarnation, PlatformAnswered{.answer = answer});
        });
    }
    const TimePoint next = std::max(this->platform.nextEvent(), this->queue.now() + Duration(1));
    if (this->wakeAt <= this->queue.now() || next < this->wakeAt) {
        this->wakeAt = next;
        this->queue.add(next, [this, next] {
            if (this->wakeAt != next)
                return;
            this->platform.advance(this->queue.now());
            this->flush();
        });
    }
}

void FleetPlatform::runOperator(std::size_t number)
{
    const PlatformCall call = this->operators[number].nextCall(this->nextOperatorCall++);
    this->queue.add(this->queue.now() + this->links.delay(), [this, number, call] {
        this->platform.call(this->queue.now(), operatorClient + number, call);
        this->flush();
    });
    this->queue.add(this->queue.now() + operatorTimeout, [this, number, call = call.call] {
        RuleOperator &ruleOperator = this->operators[number];
        if (ruleOperator.isDone() || ruleOperator.lastCall() != call)
            return;
        ruleOperator.handle(unavailable(call));
        this->runOperator(number);
    });
}

void FleetPlatform::operatorAnswered(std::size_t number)
{
    const RuleOperator &ruleOperator = this->operators[number];
    if (!ruleOperator.isDone()) {
        this->runOperator(number);
    } else if (ruleOperator.state() == RuleOperatorState::Accepted) {
        this->ruleChanges.push_back(HistoryRuleChange{.version = ruleOperator.acceptedVersion(),
                                                      .acceptedAt = this->queue.now(),
                                                      .leaving = leavingServers(ruleOperator.text())});
    }
}

} // namespace Jujubekeel
