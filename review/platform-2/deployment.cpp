#include "deployment.h"

#include <algorithm>
#include <array>
#include <random>
#include <utility>

namespace Review {

namespace {

using Json = nlohmann::json;

struct Place
{
    const char *zone;
    const char *region;
};

constexpr std::array<Place, 3> places{{{"pos-central", "north"}, {"sando-main", "south"}, {"arima-town", "east"}}};
constexpr int readyTimeoutMs = 15000;

std::string drawNetwork()
{
    std::random_device random;
    return "127." + std::to_string(20 + random() % 200) + '.' + std::to_string(1 + random() % 250) + '.';
}

std::string serviceName(std::size_t group)
{
    return "records" + std::to_string(group);
}

} // namespace

Deployment::Deployment(DeploymentOptions deploymentOptions, Recorder &caseRecorder)
    : options(std::move(deploymentOptions)), recorder(caseRecorder), network(drawNetwork())
{
    const auto at = [this](std::size_t number) {
        const std::string host = this->network + std::to_string(number);
        return Endpoint{.host = host, .port = findFreePort(host)};
    };
    this->storeEndpoint = at(1);
    this->promotionEndpoint = at(2);
    for (std::size_t index = 0; index < this->options.databases; ++index) {
        GroupOptions group{.service = serviceName(index),
                           .syncReplicas = this->options.syncReplicas,
                           .workMs = this->options.workMs,
                           .shipMs = this->options.shipMs,
                           .applyMs = this->options.applyMs,
                           .promoteMs = this->options.promoteMs};
        for (std::size_t zone = 0; zone < places.size(); ++zone) {
            group.zones.emplace_back(places.at(zone).zone);
            group.endpoints.push_back(at(20 + index * places.size() + zone));
        }
        this->groups.push_back(std::make_unique<DatabaseGroup>(std::move(group), this->store, this->recorder));
    }
    this->writeConfiguration();
    this->storeServer = std::make_unique<HttpServer>(this->storeEndpoint,
                                                     [this](const HttpCall &call) { return this->store.handle(call); });
    this->promotionServer = std::make_unique<HttpServer>(this->promotionEndpoint,
                                                         [this](const HttpCall &call) { return this->promote(call); });
    for (std::size_t index = 0; index < this->options.instances; ++index) {
        const Place &place = places.at(index % places.size());
        this->instances.push_back(std::make_unique<EntryProcess>(
            EntryOptions{.program = this->options.program,
                         .folder = this->options.folder,
                         .name = std::string("front-") + place.zone + '-' + std::to_string(1 + index / places.size()),
                         .host = this->network + std::to_string(100 + index),
                         .zone = place.zone,
                         .region = place.region,
                         .store = this->storeEndpoint,
                         .promotions = this->promotionEndpoint,
                         .serviceBounds = {}},
            this->recorder));
    }
}

Deployment::~Deployment()
{
    this->instances.clear();
    // Ends the watches that wait.
    this->store.setDown(true);
}

void Deployment::writeConfiguration()
{
    Json routes = Json::array();
    Json services = Json::array();
    for (std::size_t index = 0; index < this->groups.size(); ++index) {
        const std::string service = serviceName(index);
        const auto add = [&](const std::string &database, const char *kind, int timeoutMs, int staleMs) {
            routes.push_back({{"Name", "r-" + database},
                              {"Host", database},
                              {"PathPrefix", "/"},
                              {"Kind", kind},
                              {"TimeoutMs", timeoutMs},
                              {"GoalMs", 800},
                              {"Priority", 1},
                              {"Service", service},
                              {"MaxAttempts", 2},
                              {"MaxStalenessMs", staleMs}});
        };
        add(primaryDatabase(index), "primary", 1000, 0);
        add(staleDatabase(index), "bounded_stale", 2000, 1500);
        add(ownDatabase(index), "read_your_writes", 1000, 2500);
        services.push_back({{"Name", service},
                            {"HealthPath", "/health"},
                            {"MaxConns", 21},
                            {"Protocol", "h1"},
                            {"Tls", false},
                            {"SyncReplicas", this->options.syncReplicas}});
    }
    this->store.put("config", "main",
                    Json{{"Version", 7}, {"Routes", routes}, {"Services", services}, {"Limits", {{"TxIdleMs", 3000}}}});
}

HttpAnswer Deployment::promote(const HttpCall &call)
{
    const Json body = Json::parse(call.body, nullptr, false);
    if (call.path != "/promote" || !body.is_object())
        return HttpAnswer{.status = 404};
    const auto header = [&](const char *name) {
        const auto found = call.headers.find(name);
        return found == call.headers.end() ? std::string("none") : found->second;
    };
    for (const auto &group : this->groups) {
        if (group->service() == body.value("Service", ""))
            return HttpAnswer{.status =
                                  group->promote(body.value("Id", ""), header("duty-holder"), header("fencing-token"))};
    }
    return HttpAnswer{.status = 404};
}

bool Deployment::start()
{
    for (const auto &instance : this->instances)
        instance->start(true);
    return std::all_of(this->instances.begin(), this->instances.end(),
                       [](const auto &instance) { return instance->waitUntilReady(readyTimeoutMs); });
}

} // namespace Review
