#include "objectstore.h"

#include <algorithm>

namespace Review {

namespace {

using Json = nlohmann::json;

constexpr std::string_view objectsPath = "/api/objects/";
constexpr const char *serversKind = "servers";
constexpr std::size_t pageSize = 500;

HttpAnswer failure(int status)
{
    return HttpAnswer{.status = status, .body = Json::object()};
}

std::uint64_t toNumber(const std::map<std::string, std::string> &query, const std::string &name)
{
    const auto found = query.find(name);
    return found == query.end() ? 0 : std::strtoull(found->second.c_str(), nullptr, 10);
}

} // namespace

nlohmann::json ObjectStore::toJson(const std::string &name, const Object &object)
{
    return Json{{"meta",
                 {{"Name", name},
                  {"Revision", object.revision},
                  {"Created", object.created},
                  {"Finalizers", Json::array()},
                  {"Deleting", false}}},
                {"spec", object.spec},
                {"status", nullptr}};
}

HttpAnswer ObjectStore::handle(const HttpCall &call)
{
    HttpAnswer answered = this->answer(call);
    const std::scoped_lock lock(this->mutex);
    answered.era = this->era;
    return answered;
}

HttpAnswer ObjectStore::answer(const HttpCall &call)
{
    {
        const std::scoped_lock lock(this->mutex);
        if (this->down)
            return failure(503);
    }
    if (!call.path.starts_with(objectsPath))
        return failure(404);
    const std::string rest = call.path.substr(objectsPath.size());
    const std::size_t slash = rest.find('/');
    const std::string kind = rest.substr(0, slash);
    const std::string name = slash == std::string::npos ? std::string() : rest.substr(slash + 1);
    if (call.method == "GET" && name.empty())
        return call.query.contains("Watch") ? this->watch(kind, call) : this->list(kind, call);
    if (call.method == "POST")
        return this->create(kind, call);
    if (call.method == "PUT")
        return this->replace(kind, name, call);
    if (call.method == "DELETE")
        return this->remove(kind, name, call);
    const std::scoped_lock lock(this->mutex);
    const auto found = this->kinds[kind].find(name);
    return found == this->kinds[kind].end() ? failure(404) : HttpAnswer{.body = toJson(name, found->second)};
}

HttpAnswer ObjectStore::list(const std::string &kind, const HttpCall &call)
{
    const std::scoped_lock lock(this->mutex);
    const Kind &objects = this->kinds[kind];
    Json items = Json::array();
    auto next = call.query.contains("after") ? objects.upper_bound(call.query.at("after")) : objects.begin();
    for (; next != objects.end() && items.size() < pageSize; ++next)
        items.push_back(toJson(next->first, next->second));
    return HttpAnswer{.body = {{"items", items}, {"More", next != objects.end()}, {"CurrentRev", this->revision}}};
}

HttpAnswer ObjectStore::watch(const std::string &kind, const HttpCall &call)
{
    const std::uint64_t from = toNumber(call.query, "Watch");
    const auto end = std::chrono::steady_clock::now() + std::chrono::milliseconds(toNumber(call.query, "WaitMs"));
    std::unique_lock lock(this->mutex);
    while (true) {
        if (this->down)
            return failure(503);
        if (from > this->revision || from < this->historyFrom)
            return failure(410);
        Json found = Json::array();
        for (const Event &event : this->events) {
            if (event.kind == kind && event.revision > from)
                found.push_back({{"Object", event.object}, {"Deleted", event.deleted}});
        }
        if (!found.empty() || std::chrono::steady_clock::now() >= end)
            return HttpAnswer{.body = {{"events", found}, {"CurrentRev", this->revision}}};
        this->changed.wait_until(lock, end);
    }
}

HttpAnswer ObjectStore::create(const std::string &kind, const HttpCall &call)
{
    const Json body = Json::parse(call.body, nullptr, false);
    const std::string name = body.at("meta").at("Name").get<std::string>();
    const std::scoped_lock lock(this->mutex);
    const auto found = this->kinds[kind].find(name);
    if (found != this->kinds[kind].end())
        return HttpAnswer{.status = 409, .body = toJson(name, found->second)};
    return HttpAnswer{.status = 201, .body = toJson(name, this->write(kind, name, body.at("spec")))};
}

HttpAnswer ObjectStore::replace(const std::string &kind, const std::string &name, const HttpCall &call)
{
    const Json body = Json::parse(call.body, nullptr, false);
    const std::scoped_lock lock(this->mutex);
    const auto found = this->kinds[kind].find(name);
    if (found == this->kinds[kind].end())
        return failure(404);
    const std::uint64_t expected = body.at("meta").value("Revision", found->second.revision);
    if (expected != found->second.revision)
        return HttpAnswer{.status = 409, .body = toJson(name, found->second)};
    if (found->second.spec == body.at("spec"))
        return HttpAnswer{.body = toJson(name, found->second)};
    return HttpAnswer{.body = toJson(name, this->write(kind, name, body.at("spec")))};
}

HttpAnswer ObjectStore::remove(const std::string &kind, const std::string &name, const HttpCall &call)
{
    const std::scoped_lock lock(this->mutex);
    const auto found = this->kinds[kind].find(name);
    if (found == this->kinds[kind].end())
        return failure(404);
    HttpAnswer answer{.body = toJson(name, found->second)};
    if (call.query.contains("Revision") && toNumber(call.query, "Revision") != found->second.revision) {
        answer.status = 409;
        return answer;
    }
    this->erase(kind, name);
    return answer;
}

const ObjectStore::Object &ObjectStore::write(const std::string &kind, const std::string &name, const Json &spec)
{
    Object &object = this->kinds[kind][name];
    this->revision += 1;
    object.created = object.created == 0 ? this->revision : object.created;
    object.revision = this->revision;
    object.spec = spec;
    object.writtenAt = std::chrono::steady_clock::now();
    this->events.push_back({.revision = this->revision, .kind = kind, .object = toJson(name, object)});
    this->changed.notify_all();
    return object;
}

void ObjectStore::erase(const std::string &kind, const std::string &name)
{
    Object &object = this->kinds[kind].at(name);
    this->revision += 1;
    object.revision = this->revision;
    this->events.push_back({.revision = this->revision, .kind = kind, .object = toJson(name, object), .deleted = true});
    this->kinds[kind].erase(name);
    this->changed.notify_all();
}

void ObjectStore::put(const std::string &kind, const std::string &name, const Json &spec)
{
    const std::scoped_lock lock(this->mutex);
    if (this->down)
        return;
    // An entry changes when more than the number of its check-in changes.
    const auto found = this->kinds[kind].find(name);
    if (found != this->kinds[kind].end() && found->second.spec == spec)
        found->second.writtenAt = std::chrono::steady_clock::now();
    else
        this->write(kind, name, spec);
}

void ObjectStore::expireEntries(std::chrono::milliseconds silence)
{
    const std::scoped_lock lock(this->mutex);
    std::vector<std::string> expired;
    for (const auto &[name, object] : this->kinds[serversKind]) {
        if (std::chrono::steady_clock::now() - object.writtenAt > silence)
            expired.push_back(name);
    }
    for (const std::string &name : expired)
        this->erase(serversKind, name);
}

void ObjectStore::setDown(bool isDownNow)
{
    const std::scoped_lock lock(this->mutex);
    this->down = isDownNow;
    this->changed.notify_all();
}

bool ObjectStore::isDown()
{
    const std::scoped_lock lock(this->mutex);
    return this->down;
}

void ObjectStore::takeCopy()
{
    const std::scoped_lock lock(this->mutex);
    this->copy = Copy{.kinds = this->kinds, .revision = this->revision};
}

void ObjectStore::restore()
{
    const std::scoped_lock lock(this->mutex);
    this->kinds = this->copy.kinds;
    this->revision = this->copy.revision;
    this->historyFrom = this->copy.revision;
    this->events.clear();
    this->era += 1;
    // The time without check-ins counts from the return.
    for (auto &[name, object] : this->kinds[serversKind])
        object.writtenAt = std::chrono::steady_clock::now();
    this->changed.notify_all();
}

nlohmann::json ObjectStore::specOf(const std::string &kind, const std::string &name)
{
    const std::scoped_lock lock(this->mutex);
    const auto found = this->kinds[kind].find(name);
    return found == this->kinds[kind].end() ? Json() : found->second.spec;
}

} // namespace Review
