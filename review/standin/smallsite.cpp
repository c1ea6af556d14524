#include "smallsite.h"

#include <asio/steady_timer.hpp>
#include <nlohmann/json.hpp>

#include <iostream>
#include <utility>

namespace Review {

namespace {

using Json = nlohmann::json;

constexpr std::string_view controlPath = "/control/";
constexpr Milliseconds longestRun{110000};
/// Ports that one entry instance listens on.
constexpr std::size_t portsOfEntry = 4;

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
    if (call.path == "/promote") {
        this->backends->promote(call, respond);
    } else if (call.path.starts_with("/api/objects/")) {
        this->store.handle(call, respond);
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
    std::vector<asio::ip::tcp::acceptor> reserved;
    for (std::size_t entry = 0; entry < this->options.entries; ++entry) {
        std::cout << "entry";
        for (std::size_t port = 0; port < portsOfEntry; ++port) {
            reserved.emplace_back(this->loop, asio::ip::tcp::endpoint(asio::ip::address_v4::loopback(), 0));
            if (port == 0)
                this->fronts.push_back(reserved.back().local_endpoint());
            std::cout << ' ' << reserved.back().local_endpoint().port();
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
