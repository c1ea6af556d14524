// Stand-in of the users' platform for the cases of review 3: the store, the promotion call, and one group of backend
// servers. Faults are set by POST /fault. Prints one line for each event: time in ms, event, details.
#include "objectstore.h"
#include "servergroup.h"
#include "stream.h"

#include <sys/socket.h>

#include <array>
#include <atomic>
#include <cstdio>
#include <exception>
#include <iostream>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace {

using Json = nlohmann::json;
using Review::ObjectStore;
using Review::ServerGroup;
using Review::Stream;

constexpr std::size_t firstPort = 7100;
constexpr std::int64_t heartbeatMs = 1200;
constexpr std::int64_t missedHeartbeats = 3;
constexpr int entryCheckMs = 50;
constexpr std::string_view objectsPath = "/api/objects/";

struct Request
{
    std::string method;
    std::string path;
    std::string query;
    std::string body;
    std::string holder;
    std::string token;
};

void record(const std::string &event, const std::string &detail)
{
    static std::mutex mutex;
    const std::scoped_lock lock(mutex);
    std::cout << Review::nowMs() << ' ' << event << ' ' << detail << std::endl;
}

std::string parameter(const std::string &query, const std::string &name)
{
    const std::size_t start = ('&' + query).find('&' + name + '=');
    if (start == std::string::npos)
        return {};
    const std::size_t value = start + name.size() + 1;
    return query.substr(value, query.find('&', value) - value);
}

std::uint64_t numberOf(const std::string &text)
{
    return text.empty() ? 0 : std::stoull(text);
}

/// Reads one request; false at the end of the connection.
bool readRequest(Stream &stream, Request &request)
{
    const auto head = stream.readLine();
    if (!head)
        return false;
    const std::size_t first = head->find(' ');
    const std::size_t second = head->find(' ', first + 1);
    request.method = head->substr(0, first);
    const std::string target = head->substr(first + 1, second - first - 1);
    const std::size_t mark = target.find('?');
    request.path = target.substr(0, mark);
    request.query = mark == std::string::npos ? std::string() : target.substr(mark + 1);
    std::size_t length = 0;
    while (true) {
        const auto line = stream.readLine();
        if (!line)
            return false;
        if (line->empty())
            break;
        const std::size_t colon = line->find(": ");
        const std::string name = line->substr(0, colon);
        const std::string value = colon == std::string::npos ? std::string() : line->substr(colon + 2);
        if (name == "Content-Length")
            length = numberOf(value);
        else if (name == "Duty-Holder")
            request.holder = value;
        else if (name == "Fencing-Token")
            request.token = value;
    }
    auto body = stream.readBytes(length);
    if (!body)
        return false;
    request.body = std::move(*body);
    return true;
}

class Platform final
{
public:
    explicit Platform(ServerGroup::Options options)
        : paths(options.paths), group(std::move(options), record), heardAt(this->group.size())
    {
    }

    /// Serves the store at one port for each path, so that each instance can be given its own path to the servers.
    void start(const std::string &host)
    {
        this->group.start();
        std::thread([this] { this->reportServers(); }).detach();
        std::vector<std::thread> listeners;
        for (std::size_t path = 0; path < this->paths; ++path) {
            const int listener = Stream::listenAt(host + ':' + std::to_string(firstPort + path));
            listeners.emplace_back([this, listener, path] { this->accept(listener, path); });
        }
        record("ready", host);
        for (std::thread &listener : listeners)
            listener.join();
    }

private:
    void accept(int listener, std::size_t path)
    {
        while (true) {
            const int accepted = ::accept(listener, nullptr, nullptr);
            if (accepted < 0)
                return;
            std::thread([this, path, stream = std::make_shared<Stream>(accepted)] {
                this->serve(*stream, path);
            }).detach();
        }
    }

    void serve(Stream &stream, std::size_t path)
    {
        Request request;
        while (readRequest(stream, request)) {
            ObjectStore::Answer answer{.status = 400};
            try {
                if (!this->isAway[path])
                    answer = this->handle(request);
            } catch (const std::exception &error) {
                record("refused", error.what());
            }
            // A watch that was waiting is cut off too.
            if (this->isAway[path])
                answer = {.status = 503};
            const std::string body = this->onPath(answer.body.dump(), path);
            const std::string head = "HTTP/1.1 " + std::to_string(answer.status)
                                     + " Answer\r\nContent-Type: application/json\r\nStore-Era: 1\r\nContent-Length: "
                                     + std::to_string(body.size()) + "\r\n\r\n";
            if (!stream.write(head + body))
                break;
            request = Request{};
        }
        stream.shutDown();
    }

    /// The addresses of the servers as an instance sees them.
    static std::string onPath(std::string body, std::size_t path)
    {
        const std::string stored = ":" + std::to_string(firstPort) + "\",\"Cold";
        for (std::size_t at = body.find(stored); at != std::string::npos; at = body.find(stored, at + 1))
            body.replace(at + 1, 4, std::to_string(firstPort + path));
        return body;
    }

    ObjectStore::Answer handle(const Request &request)
    {
        if (request.path == "/promote")
            return this->promote(request);
        if (request.path == "/fault") {
            this->setFault(Json::parse(request.body));
            return {};
        }
        if (!request.path.starts_with(objectsPath))
            return {.status = 404};
        const std::string rest = request.path.substr(objectsPath.size());
        const std::string kind = rest.substr(0, rest.find('/'));
        const std::string name = rest.size() > kind.size() ? rest.substr(kind.size() + 1) : std::string();
        if (request.method == "GET") {
            const std::string from = parameter(request.query, "Watch");
            if (from.empty())
                return this->store.list(kind);
            return this->store.watch(kind, numberOf(from),
                                     static_cast<std::int64_t>(numberOf(parameter(request.query, "WaitMs"))));
        }
        if (request.method == "DELETE")
            return this->store.remove(kind, name, numberOf(parameter(request.query, "Revision")));
        const Json object = Json::parse(request.body);
        if (kind == "config")
            this->readConfiguration(object.at("spec"));
        return request.method == "POST" ? this->store.create(kind, object) : this->store.replace(kind, name, object);
    }

    void readConfiguration(const Json &spec)
    {
        this->group.setSyncReplicas(spec.at("Services").at(0).value("SyncReplicas", 0U));
    }

    ObjectStore::Answer promote(const Request &request)
    {
        const auto id = Json::parse(request.body).at("Id").get<std::string>();
        const bool accepted = this->group.promote(id);
        record("promote-call",
               id + ' ' + request.holder + ' ' + request.token + (accepted ? " accepted" : " not-running"));
        return {.status = accepted ? 200 : 409};
    }

    void setFault(const Json &fault)
    {
        if (fault.contains("away")) {
            this->isAway.at(fault.at("instance").get<std::size_t>()) = fault.at("away").get<bool>();
            record("fault", "store " + fault.dump());
            return;
        }
        const auto server = fault.at("server").get<std::size_t>();
        if (fault.contains("running"))
            this->group.setRunning(server, fault.at("running").get<bool>());
        if (fault.contains("storeCut"))
            this->group.setStoreCut(server, fault.at("storeCut").get<bool>());
        if (fault.contains("path"))
            this->group.setPathCut(server, fault.at("path").get<std::size_t>(), fault.at("pathCut").get<bool>());
        if (fault.contains("isolated"))
            this->group.setIsolated(server, fault.at("isolated").get<bool>());
        if (fault.contains("deaf"))
            this->group.setDeaf(server, fault.at("deaf").get<bool>());
        record("fault", this->group.id(server) + ' ' + fault.dump());
    }

    /// Each server writes its entry every heartbeat, and at once when its role changes. An entry lapses after three
    /// heartbeats of silence.
    void reportServers()
    {
        std::vector<std::string> written(this->group.size());
        std::vector<bool> wasPrimary(this->group.size());
        std::uint64_t sequence = 0;
        while (true) {
            for (std::size_t server = 0; server < this->group.size(); ++server) {
                const std::int64_t now = Review::nowMs();
                const std::string id = this->group.id(server);
                if (!this->group.isReporting(server)) {
                    if (!written[server].empty() && now - this->heardAt[server] >= missedHeartbeats * heartbeatMs) {
                        this->store.remove("servers", id, 0);
                        written[server].clear();
                        record("entry-lapsed", id);
                    }
                    continue;
                }
                const bool isPrimary = this->group.isPrimary(server);
                const bool isDue = written[server].empty() || now - this->heardAt[server] >= heartbeatMs;
                if (!isDue && isPrimary == wasPrimary[server])
                    continue;
                this->writeEntry(server, isPrimary, ++sequence, written[server]);
                wasPrimary[server] = isPrimary;
                this->heardAt[server] = now;
            }
            std::this_thread::sleep_for(std::chrono::milliseconds(entryCheckMs));
        }
    }

    void writeEntry(std::size_t server, bool isPrimary, std::uint64_t sequence, std::string &written)
    {
        const Json spec{{"Service", service},
                        {"Address", this->group.address(server, 0)},
                        {"Zone", "d" + std::to_string(server)},
                        {"Version", "v1"},
                        {"Slots", 3},
                        {"State", "ready"},
                        {"ColdLeftMs", 0},
                        {"DbRole", isPrimary ? "primary" : "replica"},
                        {"Seq", sequence},
                        {"born", this->group.bornMs(server)}};
        const Json object{{"meta", {{"Name", this->group.id(server)}}}, {"spec", spec}};
        if (written.empty()) {
            this->store.create("servers", object);
            record("entry-written", this->group.id(server));
        } else {
            this->store.replace("servers", this->group.id(server), object);
        }
        written = spec.dump();
    }

    static constexpr const char *service = "records";

    static constexpr std::size_t maxPaths = 16;

    std::size_t paths = 1;
    std::array<std::atomic<bool>, maxPaths> isAway{}; ///< the store turns this instance away
    ObjectStore store;
    ServerGroup group;
    std::vector<std::int64_t> heardAt; ///< last entry of each server
};

} // namespace

int main(int argumentCount, char **arguments)
{
    if (argumentCount < 4) {
        std::cerr << "usage: review3-platform INSTANCES STORE-HOST SERVER-HOST... (loopback addresses without ports)\n";
        return 2;
    }
    try {
        const std::vector<std::string> hosts(arguments + 3, arguments + argumentCount);
        Platform platform(
            {.service = "records", .hosts = hosts, .paths = std::min(std::stoul(arguments[1]) + 1, 16UL)});
        platform.start(arguments[2]);
    } catch (const std::exception &error) {
        std::cerr << error.what() << '\n';
        return 1;
    }
    return 0;
}
