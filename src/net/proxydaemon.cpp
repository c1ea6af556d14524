#include "net/proxydaemon.h"

#include "net/boottime.h"
#include "net/metrics.h"
#include "net/statusreport.h"
#include "requests/requestpreview.h"
#include "wire/callerjson.h"

#include <nlohmann/json.hpp>

#include <array>
#include <cassert>
#include <cstdio>
#include <type_traits>
#include <utility>

namespace Jujubekeel {

namespace {

/// Time limits at the stop: for answering the requests in progress and for sending queued peer messages.
constexpr Duration answerTimeout = std::chrono::seconds(2);
constexpr Duration peerFlushTimeout = std::chrono::milliseconds(500);

std::string seconds(Duration duration)
{
    std::array<char, 32> text{};
    std::snprintf(text.data(), text.size(), "%.6f", std::chrono::duration<double>(duration).count());
    return text.data();
}

} // namespace

ProxyDaemon::ProxyDaemon(ProxySettings proxySettings, LoggerOptions logging, std::function<void()> stoppedFunction)
    : settings(std::move(proxySettings)), stopped(std::move(stoppedFunction)), logger(std::move(logging)),
      diagnostics(this->settings.limits.explainLimit, this->settings.limits.spanLimit)
{
    assert(this->settings.self.isValid() && this->stopped);
    const FleetLayout &layout = this->settings.layout;
    const InstanceSettings &self = layout.at(this->settings.self);
    const ProcessLimits &limits = this->settings.limits;

    // The incarnation must increase with each restart of the process or the machine; wall-clock time does.
    this->core = std::make_unique<CoreThread>(
        ProxyCoreOptions{.layout = layout,
                         .proxy = this->settings.options,
                         .self = this->settings.self,
                         .incarnation = static_cast<std::uint64_t>(wallClockTime().count())},
        [this](Action &action) { this->perform(action); });
    const auto post = [this](Input input) { this->core->post(std::move(input)); };

    this->backends =
        std::make_unique<BackendConnections>(BackendConnectionsOptions{.layout = layout,
                                                                       .instance = self.name,
                                                                       .workThreads = limits.backendThreads,
                                                                       .connectTimeout = limits.connectTimeout},
                                             post, this->logger, this->counters);
    this->platform =
        std::make_unique<PlatformClient>(PlatformClientOptions{.address = this->settings.platformAddress,
                                                               .connectTimeout = limits.connectTimeout,
                                                               .callTimeout = this->settings.options.rules.callTimeout},
                                         post, this->counters);
    this->peers = std::make_unique<PeerLinks>(
        PeerLinksOptions{.layout = layout,
                         .self = this->settings.self,
                         .keys = this->settings.peerKeys,
                         .connectTimeout = limits.connectTimeout},
        [this](Input input) { return this->core->postFromPeer(std::move(input)); }, this->logger, this->counters);
    this->callers =
        std::make_unique<CallerServer>(CallerServerOptions{.listener = {.address = self.callerAddress,
                                                                        .threads = limits.callerThreads,
                                                                        .maxConnections = limits.maxConnections,
                                                                        .maxBodyBytes = limits.maxRequestBytes,
                                                                        .idleTimeout = limits.idleTimeout},
                                                           .instance = self.name},
                                       post, this->diagnostics, this->counters);
    this->operators = std::make_unique<OperatorServer>(
        HttpListenerOptions{.address = self.operatorAddress,
                            .threads = limits.operatorThreads,
                            .maxConnections = 64,
                            .maxBodyBytes = 4096,
                            .idleTimeout = limits.idleTimeout},
        this->settings.operatorKeys,
        OperatorFunctions{
            .status = [this] { return this->status(); },
            .metrics = [this] { return this->metrics(); },
            .rules = [this] { return this->rules(); },
            .explain = [this](const std::string &id) { return this->diagnostics.explain(id); },
            .trace = [this](const std::string &id) { return this->diagnostics.trace(id); },
            .preview = [this](const std::string &path, FailureReason &reason) { return this->preview(path, reason); },
            .drain = [this] { this->requestStop(); }});
}

ProxyDaemon::~ProxyDaemon()
{
    this->stop();
}

void ProxyDaemon::start()
{
    assert(!this->running);
    this->running = true;
    this->logger.write(LogLevel::Info, "started",
                       {{"failure_domain", this->settings.layout.at(this->settings.self).failureDomain},
                        {"callers", this->callerAddress()},
                        {"peers", this->peerAddress()},
                        {"operators", this->operatorAddress()}});
    this->core->start();
    this->peers->start();
    this->callers->start();
    this->operators->start();
}

void ProxyDaemon::requestStop()
{
    this->callers->failHealthChecks();
    this->core->post(StopRequested{});
}

void ProxyDaemon::stop()
{
    if (!this->running)
        return;
    this->running = false;
    this->callers->stop(answerTimeout);
    this->operators->stop(answerTimeout);
    this->peers->stop(peerFlushTimeout);
    this->core->stop();
    this->logger.write(LogLevel::Info, "stopped", {});
}

void ProxyDaemon::perform(Action &action)
{
    std::visit(
        [this](auto &content) {
            using Content = std::decay_t<decltype(content)>;
            if constexpr (std::is_same_v<Content, AnswerCaller>) {
                this->callers->deliver(content.answer);
            } else if constexpr (std::is_same_v<Content, OpenConnection>) {
                this->backends->open(content);
            } else if constexpr (std::is_same_v<Content, SendToBackend>) {
                this->backends->send(std::move(content));
            } else if constexpr (std::is_same_v<Content, CloseConnection>) {
                this->backends->close(content);
            } else if constexpr (std::is_same_v<Content, SendToPeer>) {
                this->peers->send(content);
            } else if constexpr (std::is_same_v<Content, CallPlatform>) {
                this->platform->call(content);
            } else if constexpr (std::is_same_v<Content, WriteLog>) {
                this->logger.write(content.level, content.event, content.fields);
            } else if constexpr (std::is_same_v<Content, EmitSpan>) {
                this->diagnostics.addSpan(content.span);
                this->logger.writeSpan(content.span);
            } else {
                static_assert(std::is_same_v<Content, StopProcess>);
                this->stopped();
            }
        },
        action);
}

std::string ProxyDaemon::status()
{
    const std::vector<PeerLinkState> links = this->peers->states();
    std::string text;
    if (!this->core->inspect([&](const ProxyCore &proxy) { text = statusToJson(proxy.world(), links); }))
        text = R"({"stopping":true})";
    return text;
}

std::string ProxyDaemon::rules()
{
    std::string text;
    if (!this->core->inspect([&](const ProxyCore &proxy) { text = rulesToJson(proxy.world()); }))
        text = R"({"version":null,"text":null})";
    return text;
}

std::optional<std::string> ProxyDaemon::preview(const std::string &path, FailureReason &reason)
{
    // Database and kind contain no slash; the rest is the operation.
    const std::size_t kindStart = path.find('/');
    const std::size_t operationStart = kindStart == std::string::npos ? kindStart : path.find('/', kindStart + 1);
    const std::string kind = operationStart == std::string::npos
                                 ? std::string()
                                 : path.substr(kindStart + 1, operationStart - kindStart - 1);
    if (kind != "read" && kind != "write") {
        reason.set(ResultCode::BadField, "path: DATABASE/read/OPERATION or DATABASE/write/OPERATION is expected");
        return std::nullopt;
    }
    const PreviewRequest shape{.database = path.substr(0, kindStart),
                               .operation = path.substr(operationStart + 1),
                               .kind = kind == "read" ? RequestKind::Read : RequestKind::Write};

    std::optional<Decision> decision;
    reason.set(ResultCode::ProxyStopping, "the instance is being stopped");
    this->core->inspect(
        [&](const ProxyCore &proxy) { decision = RequestPreview::decide(proxy.world(), shape, reason); });
    if (!decision)
        return std::nullopt;
    nlohmann::ordered_json json;
    json["database"] = shape.database;
    json["operation"] = shape.operation;
    json["kind"] = kind;
    json["decision"] = decisionToJson(*decision);
    return dumpJson(json);
}

std::string ProxyDaemon::metrics()
{
    MetricValues values;
    const InstanceSettings &self = this->settings.layout.at(this->settings.self);
    values["jujubekeel_instance_info{instance=\"" + self.name + "\",failure_domain=\"" + self.failureDomain + "\"}"] =
        "1";

    // Metrics of the decision library.
    this->core->inspect([&](const ProxyCore &proxy) {
        const World &world = proxy.world();
        for (const auto &[name, value] : world.counters.all())
            values[name] = std::to_string(value);
        values["jujubekeel_requests_in_flight"] = std::to_string(world.entries.size());
        values["jujubekeel_executions"] = std::to_string(world.executions.size());
        values["jujubekeel_transactions"] = std::to_string(world.transactions.size());
        for (const BackendId id : world.activeBackends) {
            const std::string label = "{backend_server=\"" + world.layout.at(id).name + "\"}";
            values["jujubekeel_slots_in_use" + label] = std::to_string(world.at(id).slotsInUse);
            values["jujubekeel_work_connections" + label] = std::to_string(world.at(id).openConnections);
            values["jujubekeel_queue_length" + label] = std::to_string(world.workAt(id).queue.size());
        }
    });
    const auto statistics = this->core->stepStatistics();
    for (std::size_t index = 0; index < statistics.size(); ++index) {
        const std::string label = "{input=\"" + std::string(CoreThread::inputName(index)) + "\"}";
        values["jujubekeel_core_steps_total" + label] = std::to_string(statistics[index].steps);
        values["jujubekeel_core_seconds_total" + label] = seconds(statistics[index].time);
    }

    // Metrics of the daemon's threads, connections and listeners.
    for (const auto &[name, value] : this->counters.all())
        values[name] = std::to_string(value);
    values["jujubekeel_core_queue"] = std::to_string(this->core->queueLength());
    values["jujubekeel_caller_connections"] = std::to_string(this->callers->connectionCount());
    values["jujubekeel_caller_connections_refused_total"] = std::to_string(this->callers->refusedConnections());
    values["jujubekeel_backend_connections"] = std::to_string(this->backends->count());
    values["jujubekeel_log_lines_dropped_total"] = std::to_string(this->logger.droppedLines());
    for (const PeerLinkState &link : this->peers->states()) {
        const std::string label = "{peer=\"" + link.name + "\"}";
        values["jujubekeel_peer_connected" + label] = link.connected ? "1" : "0";
        values["jujubekeel_peer_queue_bytes" + label] = std::to_string(link.queuedBytes);
        values["jujubekeel_peer_connects_total" + label] = std::to_string(link.connectCount);
        values["jujubekeel_peer_link_dropped_total" + label] = std::to_string(link.droppedMessages);
    }
    addProcessMetrics(values);
    return renderMetrics(values);
}

} // namespace Jujubekeel
