#include "capacityprobe.h"

#include "membership/rendezvous.h"
#include "rules/rulesobject.h"
#include "wire/peercbor.h"

#include <malloc.h>

#include <ctime>
#include <map>
#include <string>
#include <variant>

namespace Jujubekeel {

namespace {

constexpr std::uint32_t serversPerDatabase = 3;
constexpr std::uint64_t reportedPosition = 1000; ///< position that every server reports

std::uint64_t processorNanoseconds()
{
    timespec time{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return static_cast<std::uint64_t>(time.tv_sec) * 1000000000ULL + static_cast<std::uint64_t>(time.tv_nsec);
}

std::size_t heapBytes()
{
    const auto info = mallinfo2();
    return info.uordblks + info.hblkhd;
}

std::string makeRules(std::uint32_t lines)
{
    std::string text = "read-age * lookup.* 30s # capacity probe: reads at replicas\n";
    for (std::uint32_t line = 1; line < lines; ++line)
        text += "no-repeat db-" + std::to_string(line) + " write.* # capacity probe: one line for each database\n";
    return text;
}

} // namespace

CapacityProbe::CapacityProbe(CapacityProbeOptions probeOptions)
    : options(probeOptions), layout(makeLayout(probeOptions))
{
}

FleetLayout CapacityProbe::makeLayout(const CapacityProbeOptions &options)
{
    FleetLayout layout{.user = "capacity"};
    const auto domain = [&](std::uint32_t index) { return "domain-" + std::to_string(index % options.failureDomains); };
    for (std::uint32_t index = 0; index < options.instances; ++index)
        layout.instances.push_back({.name = "instance-" + std::to_string(index), .failureDomain = domain(index)});
    for (std::uint32_t index = 0; index < options.databases; ++index) {
        DatabaseSettings database{.name = "db-" + std::to_string(index)};
        for (std::uint32_t server = 0; server < serversPerDatabase; ++server) {
            const BackendId id{.index = static_cast<std::uint32_t>(layout.backends.size()), .generation = 0};
            layout.backends.push_back({.name = database.name + "-" + std::to_string(server),
                                       .database = {.index = index, .generation = 0},
                                       .failureDomain = domain(index + server)});
            database.backends.push_back(id);
        }
        layout.databases.push_back(std::move(database));
    }
    return layout;
}

CapacityFigures CapacityProbe::run()
{
    const std::size_t heapBefore = heapBytes();
    this->core = std::make_unique<ProxyCore>(ProxyCoreOptions{.layout = this->layout,
                                                              .proxy = {.session = {.tokenKeys = {"capacity-key"}}},
                                                              .self = {.index = 0, .generation = 0}});
    this->runUntil(this->now + this->options.warmUp);

    this->measuring = true;
    const TimePoint start = this->now;
    this->runUntil(this->now + this->options.measured);
    const double seconds = std::chrono::duration<double>(this->now - start).count();

    CapacityFigures figures{.processorPercent = static_cast<double>(this->stepNanoseconds) / 1e7 / seconds,
                            .memoryMegabytes = static_cast<double>(heapBytes() - heapBefore) / 1e6,
                            .messagesPerSecond = static_cast<double>(this->messages) / seconds,
                            .bytesPerSecond = static_cast<double>(this->bytes) / seconds,
                            .platformCallsPerSecond = static_cast<double>(this->platformCalls) / seconds,
                            .backendRequestsPerSecond = static_cast<double>(this->backendRequests) / seconds,
                            .statementsAnswered = this->answers,
                            .stateHash = this->core->stateHash()};
    for (const BackendRow &row : this->core->world().backends)
        figures.ownedBackends += row.ownership.step == OwnershipStep::Owned ? 1 : 0;
    if (this->answers > 0)
        figures.statementMicroseconds =
            static_cast<double>(this->stepNanoseconds) / 1e3 / static_cast<double>(this->answers);
    return figures;
}

void CapacityProbe::runUntil(TimePoint end)
{
    while (this->now < end) {
        this->now += this->core->world().options.tickInterval;
        this->step(Tick{});
        if (this->now >= this->nextHeartbeats) {
            const MembershipOptions &membership = this->core->world().options.membership;
            this->nextHeartbeats =
                this->now
                + (this->options.instances <= membership.fullMeshLimit ? membership.heartbeatInterval
                                                                       : membership.largeFleetInterval);
            this->sendHeartbeats();
        }
        this->sendStatements();
        while (!this->inputs.empty()) {
            const Input input = std::move(this->inputs.front());
            this->inputs.pop_front();
            this->step(input);
        }
    }
}

void CapacityProbe::step(const Input &input)
{
    Actions actions;
    const std::uint64_t before = processorNanoseconds();
    this->core->step(this->now, input, actions);
    if (this->measuring)
        this->stepNanoseconds += processorNanoseconds() - before;
    for (const Action &action : actions)
        this->perform(action);
}

void CapacityProbe::perform(const Action &action)
{
    if (const auto *open = std::get_if<OpenConnection>(&action)) {
        if (this->connections.size() <= open->connection.index)
            this->connections.resize(open->connection.index + 1);
        this->connections[open->connection.index] = open->backend;
        this->inputs.emplace_back(ConnectionOpened{.connection = open->connection, .ok = true});
    } else if (const auto *send = std::get_if<SendToBackend>(&action)) {
        this->answerBackend(*send);
    } else if (const auto *call = std::get_if<CallPlatform>(&action)) {
        this->answerPlatform(call->call);
    } else if (const auto *message = std::get_if<SendToPeer>(&action)) {
        if (this->measuring) {
            this->messages += 1;
            this->bytes += encodePeerMessage(message->message, this->layout).size();
        }
    } else if (std::holds_alternative<AnswerCaller>(action)) {
        this->answers += this->measuring ? 1 : 0;
    }
}

ServerStatus CapacityProbe::statusOf(BackendId backend) const
{
    const DatabaseSettings &database = this->layout.at(this->layout.at(backend).database);
    const BackendId primary = database.backends.front();
    ServerStatus status{.role = backend == primary ? BackendRole::Primary : BackendRole::Replica,
                        .fencedTerm = 1,
                        .received = {.term = 1, .position = reportedPosition},
                        .applied = {.term = 1, .position = reportedPosition},
                        .primary = backend == primary ? std::string() : this->layout.at(primary).name,
                        .lockHolder = this->layout.instances.front().name};
    status.history.append({.term = 1, .start = 0});
    if (backend == primary) {
        for (std::size_t server = 1; server < database.backends.size(); ++server)
            status.replicas.push_back({.server = this->layout.at(database.backends[server]).name,
                                       .received = {.term = 1, .position = reportedPosition}});
    }
    return status;
}

void CapacityProbe::answerBackend(const SendToBackend &send)
{
    const BackendId backend = this->connections.at(send.connection.index);
    const bool isStatement = send.request.operation >= BackendOperation::Execute;
    BackendAnswer answer{.serial = send.request.serial, .position = {.term = 1, .position = reportedPosition}};
    if (!isStatement) {
        answer.status = this->statusOf(backend);
        this->backendRequests += this->measuring ? 1 : 0;
    }

    // In a healthy fleet the best-ranked live instance of the failure domain holds the lock; others are refused.
    if (send.request.operation == BackendOperation::Lock || send.request.operation == BackendOperation::PreemptLock) {
        std::uint64_t best = 0;
        InstanceId holder;
        for (std::uint32_t index = 0; index < this->layout.instances.size(); ++index) {
            const InstanceSettings &instance = this->layout.instances[index];
            if (instance.failureDomain != this->layout.at(backend).failureDomain)
                continue;
            const std::uint64_t score = rendezvousScore(this->layout.at(backend).name, instance.name);
            if (!holder.isValid() || score > best) {
                best = score;
                holder = {.index = index, .generation = 0};
            }
        }
        if (holder.isValid() && holder.index != 0) {
            answer.code = BackendStatusCode::LockHeld;
            answer.text = this->layout.at(holder).name;
            answer.status->lockHolder = answer.text;
        }
    }
    this->inputs.emplace_back(BackendAnswered{.connection = send.connection, .answer = std::move(answer)});
}

void CapacityProbe::answerPlatform(const PlatformCall &call)
{
    this->platformCalls += this->measuring ? 1 : 0;
    PlatformAnswer answer{.call = call.call, .code = PlatformStatusCode::Ok, .version = 1};
    if (call.operation == PlatformOperation::ListInstances) {
        for (const InstanceSettings &instance : this->layout.instances)
            answer.instances.push_back({.name = instance.name});
    } else if (call.operation == PlatformOperation::Watch) {
        return; // a watch is answered when the object changes, which never happens here
    } else if (call.key.starts_with("rules/")) {
        answer.value = RulesObject{.writer = "capacity",
                                   .sequence = 1,
                                   .author = "capacity",
                                   .time = "1970-01-01T00:00:00Z",
                                   .text = makeRules(this->options.rules)}
                           .encode();
    } else {
        answer.code = PlatformStatusCode::NotFound;
    }
    this->inputs.emplace_back(PlatformAnswered{.answer = std::move(answer)});
}

void CapacityProbe::sendHeartbeats()
{
    // Peers that send heartbeats to this daemon: all in a small fleet; in a large one the ring neighbours before it and
    // the owners of the servers that it is a candidate for.
    const World &world = this->core->world();
    const MembershipOptions &membership = world.options.membership;
    const bool fullMesh = this->options.instances <= membership.fullMeshLimit;
    std::map<InstanceId, std::vector<BackendReport>> reports;
    const std::uint32_t ring = fullMesh ? this->options.instances - 1 : membership.ringFanout;
    for (std::uint32_t step = 1; step <= ring; ++step) {
        const std::uint32_t distance = fullMesh ? step : step * this->options.failureDomains;
        if (distance < this->options.instances)
            reports[{.index = this->options.instances - distance, .generation = 0}];
    }
    for (const BackendId backend : world.candidates.ownCandidacies()) {
        const InstanceId owner = world.candidates.forBackend(backend).front();
        const ServerStatus status = this->statusOf(backend);
        if (owner != world.self)
            reports[owner].push_back(
                {.backend = backend,
                 .primary = status.role == BackendRole::Primary,
                 .applied = status.applied,
                 .received = status.received,
                 .history = status.history,
                 .confirmedAge = status.role == BackendRole::Primary ? Duration{0} : Duration{-1}});
    }
    for (auto &[from, owned] : reports) {
        this->inputs.emplace_back(PeerMessageArrived{.from = from,
                                                     .message = Heartbeat{.incarnation = 1,
                                                                          .sentAt = this->now,
                                                                          .echo = this->now,
                                                                          .echoIncarnation = 1,
                                                                          .rulesVersion = 1,
                                                                          .owned = std::move(owned)}});
    }
}

void CapacityProbe::sendStatements()
{
    if (!this->measuring)
        return;
    this->statementCredit += static_cast<double>(this->options.statementsPerSecond)
                             * std::chrono::duration<double>(this->core->world().options.tickInterval).count();
    while (this->statementCredit >= 1) {
        this->statementCredit -= 1;

        // Reads a database of which this daemon owns a server. The prime factor spreads the reads over the servers.
        const World &world = this->core->world();
        for (std::uint32_t offset = 0; offset < world.backends.size(); ++offset) {
            const std::uint32_t index =
                static_cast<std::uint32_t>((this->nextTicket * 7919 + offset) % world.backends.size());
            if (world.backends[index].ownership.step != OwnershipStep::Owned)
                continue;
            CallerRequest request{.ticket = this->nextTicket++,
                                  .database = this->layout.at(world.backends[index].database).name,
                                  .caller = "caller-" + std::to_string(this->nextTicket % 64),
                                  .operation = "lookup.item",
                                  .kind = RequestKind::Read,
                                  .statement = "get item",
                                  .timeout = std::chrono::seconds(5)};
            this->step(CallerRequestArrived{.request = std::move(request)});
            break;
        }
    }
}

} // namespace Jujubekeel
