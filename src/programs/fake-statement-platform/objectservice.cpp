#include "programs/fake-statement-platform/objectservice.h"

#include "programs/fake-statement-platform/statementservers.h"

#include <nlohmann/json.hpp>

#include <chrono>
#include <thread>
#include <utility>

namespace Jujubekeel {

namespace {

using Json = nlohmann::json;

/// A page of a list holds objects of this many bytes, and one more.
constexpr std::size_t pageBytes = std::size_t{1} * 1024 * 1024;
constexpr std::string_view objectsPath = "/api/objects/";
constexpr const char *eraHeader = "Store-Era";
/// Marks an entry that its server has to write again.
constexpr const char *staleEntry = "stale";
/// Interval at which a waiting watch checks for changes.
constexpr std::chrono::milliseconds watchPollInterval(5);

Json toJson(const FleetObject &object)
{
    const std::string name = object.name.substr(object.name.find('/') + 1);
    return Json{{"meta", {{"Name", name}, {"Revision", object.revision}}},
                {"spec", Json::parse(object.content, nullptr, false)},
                {"status", nullptr}};
}

FakeHttpResponse jsonResponse(int status, const Json &body)
{
    return FakeHttpResponse{.status = status, .body = body.dump()};
}

} // namespace

ObjectService::ObjectService(StatementServers &statementServers)
    : servers(statementServers), store(statementServers.eventQueue())
{
}

FakeHttpResponse ObjectService::handle(const FakeHttpRequest &httpRequest)
{
    if (httpRequest.path == "/v1/fault")
        return this->fault(httpRequest);
    if (this->down)
        return FakeHttpResponse{.closeWithoutResponse = true};
    FakeHttpResponse response = this->handleStoreCall(httpRequest);
    const std::scoped_lock lock(this->servers.groupMutex());
    response.headers.emplace(eraHeader, std::to_string(this->store.currentEra()));
    return response;
}

FakeHttpResponse ObjectService::handleStoreCall(const FakeHttpRequest &httpRequest)
{
    if (httpRequest.path == "/promote")
        return this->promote(httpRequest);
    if (!httpRequest.path.starts_with(objectsPath))
        return errorResponse(404, ResultCode::UnknownPath, "no such path");
    const std::string name = httpRequest.path.substr(objectsPath.size());
    const std::string kind = name.substr(0, name.find('/'));
    if (httpRequest.method == "GET")
        return httpRequest.query.contains("Watch") ? this->watch(kind, httpRequest) : this->list(kind, httpRequest);
    if (httpRequest.method == "DELETE")
        return this->remove(name, httpRequest);
    return this->write(kind, httpRequest);
}

FakeHttpResponse ObjectService::list(const std::string &kind, const FakeHttpRequest &httpRequest)
{
    const std::string after = httpRequest.query.contains("after") ? kind + "/" + httpRequest.query.at("after") : "";
    FleetStore::Answer answer;
    {
        const std::scoped_lock lock(this->servers.groupMutex());
        answer = this->store.listPage(kind + "/", after, pageBytes);
    }
    Json items = Json::array();
    for (const FleetObject &object : answer.objects)
        items.push_back(toJson(object));
    return jsonResponse(200, {{"items", items}, {"More", answer.more}, {"CurrentRev", answer.revision}});
}

FakeHttpResponse ObjectService::watch(const std::string &kind, const FakeHttpRequest &httpRequest)
{
    const std::uint64_t from = std::stoull(httpRequest.query.at("Watch"));
    const auto wait = std::chrono::milliseconds(
        httpRequest.query.contains("WaitMs") ? std::stoll(httpRequest.query.at("WaitMs")) : 0);
    const auto end = std::chrono::steady_clock::now() + wait;
    while (true) {
        FleetStore::Answer answer;
        {
            const std::scoped_lock lock(this->servers.groupMutex());
            answer = this->store.since(from, kind + "/");
        }
        if (this->down || httpRequest.isDisconnected())
            return FakeHttpResponse{.closeWithoutResponse = true};
        if (answer.historyCompacted)
            return errorResponse(410, ResultCode::NotFound,
                                 "the history does not contain revision " + std::to_string(from));
        if (!answer.objects.empty() || std::chrono::steady_clock::now() >= end) {
            Json events = Json::array();
            for (const FleetObject &object : answer.objects)
                events.push_back({{"Deleted", object.deleted}, {"Object", toJson(object)}});
            return jsonResponse(200, {{"events", events}, {"CurrentRev", answer.revision}});
        }
        std::this_thread::sleep_for(watchPollInterval);
    }
}

FakeHttpResponse ObjectService::write(const std::string &kind, const FakeHttpRequest &httpRequest)
{
    const Json body = Json::parse(httpRequest.body, nullptr, false);
    if (!body.is_object() || !body.contains("meta") || !body.contains("spec"))
        return errorResponse(400, ResultCode::BadField, "an object with the fields meta and spec is expected");
    const std::string name = kind + "/" + body["meta"].value("Name", "");
    const std::scoped_lock lock(this->servers.groupMutex());
    const std::uint64_t currentRevision = this->revisions[name];
    const std::uint64_t expectedRevision =
        httpRequest.method == "POST" ? 0 : body["meta"].value("Revision", currentRevision);
    const WriteOutcome outcome =
        this->store.write({.name = name, .expectedRevision = expectedRevision, .content = body["spec"].dump()});
    if (outcome.result != WriteResult::Ok)
        return errorResponse(409, ResultCode::RulesConflict,
                             "the current revision of the object is " + std::to_string(currentRevision));
    this->revisions[name] = outcome.revision;
    return jsonResponse(200, toJson({.name = name, .revision = outcome.revision, .content = body["spec"].dump()}));
}

FakeHttpResponse ObjectService::remove(const std::string &name, const FakeHttpRequest &httpRequest)
{
    const std::scoped_lock lock(this->servers.groupMutex());
    const std::uint64_t currentRevision = this->revisions[name];
    const std::uint64_t expectedRevision =
        httpRequest.query.contains("Revision") ? std::stoull(httpRequest.query.at("Revision")) : currentRevision;
    const WriteOutcome outcome = this->store.remove({.name = name, .expectedRevision = expectedRevision});
    if (outcome.result != WriteResult::Ok)
        return errorResponse(409, ResultCode::RulesConflict,
                             "the current revision of the object is " + std::to_string(currentRevision));
    this->revisions.erase(name);
    return jsonResponse(200, {{"meta", {{"Name", name}, {"Revision", outcome.revision}}}, {"spec", nullptr}});
}

FakeHttpResponse ObjectService::promote(const FakeHttpRequest &httpRequest)
{
    const Json body = Json::parse(httpRequest.body, nullptr, false);
    const std::scoped_lock lock(this->servers.groupMutex());
    for (std::size_t server = 0; body.is_object() && server < this->servers.group().size(); ++server) {
        if (this->servers.group().id(server) == body.value("Id", "") && this->servers.group().promote(server))
            return jsonResponse(200, Json::object());
    }
    return errorResponse(409, ResultCode::NotFound, "no running server has this Id");
}

FakeHttpResponse ObjectService::fault(const FakeHttpRequest &httpRequest)
{
    const Json body = Json::parse(httpRequest.body, nullptr, false);
    if (!body.is_object())
        return errorResponse(400, ResultCode::BadField, "an object is expected");
    this->down = body.value("down", this->down);
    if (body.value("copy", false)) {
        const std::scoped_lock lock(this->servers.groupMutex());
        this->store.takeCopy();
    }
    if (body.value("restore", false))
        this->restoreStore();
    if (body.contains("server")) {
        const std::scoped_lock lock(this->servers.groupMutex());
        const auto server = body["server"].get<std::size_t>();
        if (server >= this->servers.group().size())
            return errorResponse(400, ResultCode::BadField, "field server: no such server in the group");
        this->servers.group().setRunning(server, body.value("running", this->servers.group().isRunning(server)));
        this->servers.group().setDraining(server, body.value("draining", this->servers.group().isDraining(server)));
    }
    return jsonResponse(200, Json::object());
}

void ObjectService::restoreStore()
{
    const std::scoped_lock lock(this->servers.groupMutex());
    this->store.restore();
    this->revisions.clear();
    for (const FleetObject &object : this->store.list().objects)
        this->revisions[object.name] = object.revision;
    for (auto &[name, text] : this->entries)
        text = this->revisions.contains(name) ? staleEntry : std::string();
}

std::string ObjectService::entryText(std::size_t server) const
{
    const StatementGroup &group = this->servers.group();
    return Json{{"Service", group.settings().service},
                {"Address", this->servers.address(server)},
                {"Zone", group.domain(server)},
                {"Version", "v1"},
                {"Slots", group.settings().slots},
                {"State", group.isDraining(server) ? "draining" : "ready"},
                {"ColdLeftMs", 0},
                {"DbRole", group.isPrimary(server) ? "primary" : "replica"},
                {"Seq", 1},
                {"born", group.incarnation(server)}}
        .dump();
}

void ObjectService::refreshEntries()
{
    const std::scoped_lock lock(this->servers.groupMutex());
    for (std::size_t server = 0; server < this->servers.group().size(); ++server) {
        const std::string name = "servers/" + this->servers.group().id(server);
        const std::string text = this->servers.group().isRunning(server) ? this->entryText(server) : std::string();
        if (this->entries[name] == text)
            continue;
        this->entries[name] = text;
        if (text.empty()) {
            static_cast<void>(this->store.remove({.name = name, .expectedRevision = this->revisions[name]}));
            this->revisions.erase(name);
            continue;
        }
        this->revisions[name] =
            this->store.write({.name = name, .expectedRevision = this->revisions[name], .content = text}).revision;
    }
}

} // namespace Jujubekeel
