#include "objectstore.h"

#include "types.h"

#include <asio/steady_timer.hpp>
#include <nlohmann/json.hpp>

#include <utility>

namespace Review {

namespace {

using Json = nlohmann::json;

constexpr std::string_view objectsPath = "/api/objects/";

} // namespace

std::string ObjectStore::toJson(const Object &object)
{
    const Json meta{{"Name", object.name},
                    {"Revision", object.revision},
                    {"Created", object.created},
                    {"Finalizers", Json::array()},
                    {"Deleting", false}};
    return R"({"meta":)" + meta.dump() + R"(,"spec":)" + object.spec + R"(,"status":null})";
}

void ObjectStore::handle(const HttpCall &call, const HttpServer::Respond &respond)
{
    const std::string rest = call.path.substr(objectsPath.size());
    const std::size_t slash = rest.find('/');
    const std::string kind = rest.substr(0, slash);
    if (call.method == "GET" && call.query.contains("Watch"))
        this->watch(kind, call, respond);
    else if (call.method == "GET")
        this->list(kind, respond);
    else if (call.method == "DELETE" && slash != std::string::npos)
        this->remove(kind, rest.substr(slash + 1), call, respond);
    else
        this->write(kind, call, respond);
}

void ObjectStore::list(const std::string &kind, const HttpServer::Respond &respond) const
{
    std::string items;
    if (const auto found = this->objects.find(kind); found != this->objects.end()) {
        for (const auto &[name, object] : found->second)
            items += (items.empty() ? "" : ",") + toJson(object);
    }
    respond(
        {.body = R"({"items":[)" + items + R"(],"More":false,"CurrentRev":)" + std::to_string(this->revision) + "}"});
}

std::string ObjectStore::events(const std::string &kind, std::uint64_t from) const
{
    std::string text;
    for (const Change &change : this->history) {
        if (change.object.revision <= from || change.kind != kind)
            continue;
        text += text.empty() ? "" : ",";
        text += R"({"Deleted":)" + std::string(change.object.deleted ? "true" : "false") + R"(,"Object":)"
                + toJson(change.object) + "}";
    }
    return text;
}

void ObjectStore::watch(const std::string &kind, const HttpCall &call, const HttpServer::Respond &respond)
{
    const std::uint64_t from = std::stoull(call.query.at("Watch"));
    const auto answer = [this, kind, from](const HttpServer::Respond &reply) {
        reply({.body = R"({"events":[)" + this->events(kind, from) + R"(],"CurrentRev":)"
                       + std::to_string(this->revision) + "}"});
    };
    const Milliseconds wait(call.query.contains("WaitMs") ? std::stol(call.query.at("WaitMs")) : 0);
    if (wait.count() == 0 || !this->events(kind, from).empty()) {
        answer(respond);
        return;
    }
    auto waiting = std::make_shared<Watch>(Watch{.kind = kind, .from = from, .respond = respond});
    this->watches.push_back(waiting);
    auto timer = std::make_shared<asio::steady_timer>(this->loop, wait);
    timer->async_wait([this, waiting, timer, answer](const asio::error_code &) {
        if (!waiting->respond)
            return;
        this->watches.remove(waiting);
        answer(waiting->respond);
    });
}

const ObjectStore::Object &ObjectStore::store(const std::string &kind, const std::string &name, const std::string &spec)
{
    Object &object = this->objects[kind][name];
    this->revision += 1;
    object.name = name;
    object.revision = this->revision;
    object.created = object.created == 0 ? this->revision : object.created;
    object.spec = spec;
    this->changed(kind, object);
    return object;
}

void ObjectStore::put(const std::string &kind, const std::string &name, const std::string &spec)
{
    static_cast<void>(this->store(kind, name, spec));
}

void ObjectStore::erase(const std::string &kind, const std::string &name)
{
    const auto found = this->objects[kind].find(name);
    if (found == this->objects[kind].end())
        return;
    Object object = found->second;
    this->objects[kind].erase(found);
    this->revision += 1;
    object.revision = this->revision;
    object.deleted = true;
    this->changed(kind, object);
}

void ObjectStore::write(const std::string &kind, const HttpCall &call, const HttpServer::Respond &respond)
{
    const Json body = Json::parse(call.body, nullptr, false);
    if (!body.is_object() || !body.contains("meta") || !body.contains("spec")) {
        respond({.status = 400, .body = "{}"});
        return;
    }
    const std::string name = body["meta"].value("Name", "");
    const auto found = this->objects[kind].find(name);
    const std::uint64_t current = found == this->objects[kind].end() ? 0 : found->second.revision;
    const std::uint64_t expected = call.method == "POST" ? 0 : body["meta"].value("Revision", current);
    if (call.method != "POST" && current == 0)
        respond({.status = 404, .body = "{}"});
    else if (expected != current)
        respond({.status = 409, .body = toJson(found->second)});
    else if (current != 0 && found->second.spec == body["spec"].dump())
        respond({.body = toJson(found->second)});
    else
        respond({.body = toJson(this->store(kind, name, body["spec"].dump()))});
}

void ObjectStore::remove(const std::string &kind, const std::string &name, const HttpCall &call,
                         const HttpServer::Respond &respond)
{
    const auto found = this->objects[kind].find(name);
    if (found == this->objects[kind].end()) {
        respond({.status = 404, .body = "{}"});
        return;
    }
    if (call.query.contains("Revision") && std::stoull(call.query.at("Revision")) != found->second.revision) {
        respond({.status = 409, .body = toJson(found->second)});
        return;
    }
    const std::string text = toJson(found->second);
    this->erase(kind, name);
    respond({.body = text});
}

void ObjectStore::changed(const std::string &kind, const Object &object)
{
    this->history.push_back(Change{.kind = kind, .object = object});
    std::vector<std::shared_ptr<Watch>> due;
    std::erase_if(this->watches, [&](const std::shared_ptr<Watch> &watch) {
        if (watch->kind == kind)
            due.push_back(watch);
        return watch->kind == kind;
    });
    for (const std::shared_ptr<Watch> &watch : due) {
        const HttpServer::Respond respond = std::exchange(watch->respond, nullptr);
        respond({.body = R"({"events":[)" + this->events(kind, watch->from) + R"(],"CurrentRev":)"
                         + std::to_string(this->revision) + "}"});
    }
}

} // namespace Review
