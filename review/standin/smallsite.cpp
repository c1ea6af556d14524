#include "smallsite.h"

#include <asio/steady_timer.hpp>
#include <nlohmann/json.hpp>

#include <iostream>
#include <random>
#include <utility>

namespace Review {

namespace {

using Json = nlohmann::json;

constexpr std::string_view controlPath = "/control/";
constexpr Milliseconds longestRun{110000};
/// Ports that one entry instance listens on.
constexpr std::size_t portsOfEntry = 4;
constexpr std::uint32_t firstPort = 20000;
constexpr std::uint32_t portCount = 10000;

Json route(const char *host, const char *kind, const std::string &service, int timeoutMs, int stalenessMs)
{
    Json entry{{"Name", std::string("r-") + host},
               {"Host", host},
               {"PathPrefix", "/"},
               {"Kind", kind},
               {"TimeoutMs", timeoutMs},
               {"GoalMs", 800},
               {"Priority", 1},
               {"Service", service},
               {"MaxAttempts", 2}};
    if (stalenessMs > 0)
        entry["MaxStalenessMs"] = stalenessMs;
    return entry;
}

} // namespace

SmallSite::SmallSite(SmallSiteOptions siteOptions)
    : options(std::move(siteOptions)), loop(1), record(this->options.recordFile), store(this->loop),
      backends(std::make_unique<BackendGroup>(this->loop, this->store, this->record, this->options.backends)),
      server(std::make_unique<HttpServer>(this->loop, [this](const HttpCall &call, const HttpServer::Respond &respond) {
          this->handle(call, respond);
      }))
{
    this->putConfiguration();
    this->announceAddresses();
}

void SmallSite::handle(const HttpCall &call, const HttpServer::Respond &respond)
{
    const auto delayed = [this, respond](const HttpReply &reply) {
        this->later(this->options.platformDelay, [respond, reply] { respond(reply); });
    };
    if (call.path == "/promote") {
        this->backends->promote(call, delayed);
    } else if (call.path.starts_with("/api/objects/")) {
        this->store.handle(call, delayed);
    } else if (call.path.starts_with(controlPath)) {
        respond({.body = "{}"});
        const std::string name = call.path.substr(controlPath.size());
        this->record.write("script", name);
        if (this->control)
            this->control(name);
    } else {
        respond({.status = 404, .body = "{}"});
    }
}

void SmallSite::putConfiguration()
{
    const BackendOptions &service = this->options.backends;
    const Json routes{route("filings", "primary", service.service, 1000, 0),
                      route("lookups", "bounded_stale", service.service, 2000, 1500),
                      route("ledger", "read_your_writes", service.service, 1000, 2500)};
    const Json services{{{"Name", service.service},
                         {"HealthPath", "/health"},
                         {"MaxConns", service.maxConnections},
                         {"Protocol", "h1"},
                         {"Tls", false},
                         {"SyncReplicas", service.waitsForReplica ? 1 : 0}}};
    this->store.put(
        "config", "main",
        Json{{"Version", 7}, {"Routes", routes}, {"Services", services}, {"Limits", {{"TxIdleMs", 3000}}}}.dump());
}

void SmallSite::announceAddresses()
{
    std::cout << "store " << this->server->address() << '\n';
    // Ports below those that the system takes for outgoing connections.
    std::vector<asio::ip::tcp::acceptor> reserved;
    std::random_device random;
    const auto reserve = [&] {
        while (true) {
            const auto port = static_cast<std::uint16_t>(firstPort + random() % portCount);
            asio::ip::tcp::acceptor acceptor(this->loop, asio::ip::tcp::v4());
            asio::error_code failure;
            acceptor.bind({asio::ip::address_v4::loopback(), port}, failure);
            if (failure)
                continue;
            reserved.push_back(std::move(acceptor));
            return port;
        }
    };
    for (std::size_t entry = 0; entry < this->options.entries; ++entry) {
        std::cout << "entry";
        for (std::size_t index = 0; index < portsOfEntry; ++index) {
            const std::uint16_t port = reserve();
            if (index == 0)
                this->fronts.emplace_back(asio::ip::address_v4::loopback(), port);
            std::cout << ' ' << port;
        }
        std::cout << '\n';
    }
    // The ports are free again when the script starts the entry instances.
    std::cout << "end" << std::endl;
}

int SmallSite::run()
{
    this->later(longestRun, [this] { this->finish(NotRun, "the case did not end in time"); });
    this->loop.run();
    return this->verdict;
}

void SmallSite::finish(Verdict reached, const std::string &reason)
{
    this->verdict = reached;
    const char *word = reached == Held ? "held" : reached == Broken ? "BROKEN" : "not run";
    this->record.write("verdict", std::string(word) + ": " + reason);
    std::cout << "verdict " << word << ": " << reason << std::endl;
    this->loop.stop();
}

void SmallSite::later(Milliseconds delay, std::function<void()> action)
{
    auto timer = std::make_shared<asio::steady_timer>(this->loop, delay);
    timer->async_wait([timer, run = std::move(action)](const asio::error_code &) { run(); });
}

std::shared_ptr<Requester> SmallSite::requester(std::size_t entry, const std::string &database, const std::string &name)
{
    return std::make_shared<Requester>(
        this->loop, this->record,
        RequesterOptions{.address = this->fronts.at(entry), .database = database, .name = name});
}

std::string SmallSite::nextStatementId()
{
    this->statements += 1;
    return "q" + std::to_string(this->statements);
}

SmallSiteOptions siteOptions(int argumentCount, char **arguments)
{
    constexpr int expected = 4;
    if (argumentCount != expected) {
        std::cerr << "usage: CASE RECORD TROUBLE ENTRIES\n";
        std::exit(SmallSite::NotRun);
    }
    return SmallSiteOptions{
        .recordFile = arguments[1], .trouble = std::string(arguments[2]) != "0", .entries = std::stoul(arguments[3])};
}

} // namespace Review
