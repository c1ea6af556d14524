#include "programs/fake-statement-platform/objectservice.h"

#include "programs/fake-statement-platform/statementservers.h"

#include <nlohmann/json.hpp>

#include <chrono>
#include <thread>
#include <utility>

namespace Jujubekeel {

namespace {

using Json = nlohmann::json;

constexpr std::string_view objectsPath = "/api/objects/";
constexpr std::chrono::milliseconds watchPoll(5);

Json toJson(const FleetObject &object)
{
    const std::string name = object.name.substr(object.name.find('/') + 1);
    return Json{{"meta", {{"Name", name}, {"Revision", object.revision}}},
                {"spec", Json::parse(object.content, nullptr, false)},
                {"status", nullptr}};
}

FakeHttpReply reply(int status, const Json &body)
{
    return FakeHttpReply{.status = status, .body = body.dump()};
}

} // namespace

ObjectService::ObjectService(StatementServers &statementServers)
    : servers(statementServers), store(statementServers.queue())
{
}

FakeHttpReply ObjectService::handle(const FakeHttpCall &call)
{
    if (call.path == "/v1/fault")
        return this->fault(call);
    if (this->down)
        return FakeHttpReply{.withoutReply = true};
    if (call.path == "/promote")
        return this->promote(call);
    if (!call.path.starts_with(objectsPath))
        return errorReply(404, ResultCode::UnknownPath, "no such path");
    const std::string name = call.path.substr(objectsPath.size());
    const std::string kind = name.substr(0, name.find('/'));
    if (call.method == "GET")
        return call.query.contains("Watch") ? this->watch(kind, call) : this->list(kind);
    if (call.method == "DELETE")
        return this->remove(name, call);
    return this->write(kind, call);
}

FakeHttpReply ObjectService::list(const std::string &kind)
{
    const std::scoped_lock held(this->servers.lock());
    const FleetStore::Answer answer = this->store.list(kind + "/");
    Json items = Json::array();
    for (const FleetObject &object : answer.objects)
        items.push_back(toJson(object));
    return reply(200, {{"items", items}, {"More", false}, {"CurrentRev", answer.revision}});
}

FakeHttpReply ObjectService::watch(const std::string &kind, const FakeHttpCall &call)
{
    const std::uint64_t from = std::stoull(call.query.at("Watch"));
    const auto wait =
        std::chrono::milliseconds(call.query.contains("WaitMs") ? std::stoll(call.query.at("WaitMs")) : 0);
    const auto end = std::chrono::steady_clock::now() + wait;
    while (true) {
        FleetStore::Answer answer;
        {
            const std::scoped_lock held(this->servers.lock());
            answer = this->store.since(from, kind + "/");
        }
        if (this->down || call.isGone())
            return FakeHttpReply{.withoutReply = true};
        if (!answer.objects.empty() || std::chrono::steady_clock::now() >= end) {
            Json events = Json::array();
            for (const FleetObject &object : answer.objects)
                events.push_back({{"Deleted", object.deleted}, {"Object", toJson(object)}});
            return reply(200, {{"events", events}, {"CurrentRev", answer.revision}});
        }
        std::this_thread::sleep_for(watchPoll);
    }
}

FakeHttpReply ObjectService::write(const std::string &kind, const FakeHttpCall &call)
{
    const Json body = Json::parse(call.body, nullptr, false);
    if (!body.is_object() || !body.contains("meta") || !body.contains("spec"))
        return errorReply(400, ResultCode::BadField, "meta and spec are needed");
    const std::string name = kind + "/" + body["meta"].value("Name", "");
    const std::scoped_lock held(this->servers.lock());
    const std::uint64_t present = this->revisions[name];
    const std::uint64_t wanted = call.method == "POST" ? 0 : body["meta"].value("Revision", present);
    const WriteOutcome outcome =
        this->store.write({.name = name, .expectedRevision = wanted, .content = body["spec"].dump()});
    if (outcome.result != WriteResult::Ok)
        return errorReply(409, ResultCode::RulesConflict, "the object has revision " + std::to_string(present));
    this->revisions[name] = outcome.revision;
    return reply(200, toJson({.name = name, .revision = outcome.revision, .content = body["spec"].dump()}));
}

FakeHttpReply ObjectService::remove(const std::string &name, const FakeHttpCall &call)
{
    const std::scoped_lock held(this->servers.lock());
    const std::uint64_t present = this->revisions[name];
    const std::uint64_t wanted = call.query.contains("Revision") ? std::stoull(call.query.at("Revision")) : present;
    const WriteOutcome outcome = this->store.remove({.name = name, .expectedRevision = wanted});
    if (outcome.result != WriteResult::Ok)
        return errorReply(409, ResultCode::RulesConflict, "the object has revision " + std::to_string(present));
    this->revisions.erase(name);
    return reply(200, {{"meta", {{"Name", name}, {"Revision", outcome.revision}}}, {"spec", nullptr}});
}

FakeHttpReply ObjectService::promote(const FakeHttpCall &call)
{
    const Json body = Json::parse(call.body, nullptr, false);
    const std::scoped_lock held(this->servers.lock());
    for (std::size_t server = 0; body.is_object() && server < this->servers.group().size(); ++server) {
        if (this->servers.group().id(server) == body.value("Id", "") && this->servers.group().promote(server))
            return reply(200, Json::object());
    }
    return errorReply(409, ResultCode::NotFound, "the server does not run");
}

FakeHttpReply ObjectService::fault(const FakeHttpCall &call)
{
    const Json body = Json::parse(call.body, nullptr, false);
    if (!body.is_object())
        return errorReply(400, ResultCode::BadField, "an object is needed");
    this->down = body.value("down", this->down);
    if (body.contains("server")) {
        const std::scoped_lock held(this->servers.lock());
        const auto server = body["server"].get<std::size_t>();
        if (server >= this->servers.group().size())
            return errorReply(400, ResultCode::BadField, "no such server");
        this->servers.group().setRunning(server, body.value("running", this->servers.group().isRunning(server)));
        this->servers.group().setDraining(server, body.value("draining", this->servers.group().isDraining(server)));
    }
    return reply(200, Json::object());
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
    const std::scoped_lock held(this->servers.lock());
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
