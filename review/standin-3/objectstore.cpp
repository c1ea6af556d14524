#include "objectstore.h"

#include <algorithm>
#include <chrono>

namespace Review {

namespace {

constexpr int statusNotFound = 404;
constexpr int statusConflict = 409;

std::uint64_t conditionOf(const nlohmann::json &object)
{
    return object.value("meta", nlohmann::json::object()).value("Revision", std::uint64_t{0});
}

} // namespace

ObjectStore::Answer ObjectStore::list(const std::string &kind)
{
    const std::scoped_lock lock(this->mutex);
    auto items = nlohmann::json::array();
    for (const auto &[name, object] : this->objects[kind])
        items.push_back(object);
    return {.body = {{"items", items}, {"More", false}, {"CurrentRev", this->revision}}};
}

ObjectStore::Answer ObjectStore::watch(const std::string &kind, std::uint64_t from, std::int64_t waitMs)
{
    std::unique_lock lock(this->mutex);
    auto found = nlohmann::json::array();
    const auto collect = [&] {
        for (const Event &event : this->events) {
            if (event.revision > from && event.kind == kind)
                found.push_back(event.text);
        }
        return !found.empty();
    };
    this->changed.wait_for(lock, std::chrono::milliseconds(waitMs), collect);
    return {.body = {{"events", found}, {"CurrentRev", this->revision}}};
}

ObjectStore::Answer ObjectStore::put(const std::string &kind, const std::string &name, const nlohmann::json &spec)
{
    this->revision += 1;
    const nlohmann::json object{{"meta", {{"Name", name}, {"Revision", this->revision}}}, {"spec", spec}};
    this->objects[kind][name] = object;
    this->events.push_back(
        {.revision = this->revision, .kind = kind, .text = {{"Deleted", false}, {"Object", object}}});
    this->changed.notify_all();
    return {.body = object};
}

ObjectStore::Answer ObjectStore::create(const std::string &kind, const nlohmann::json &object)
{
    const std::scoped_lock lock(this->mutex);
    const auto name = object.at("meta").at("Name").get<std::string>();
    if (const auto found = this->objects[kind].find(name); found != this->objects[kind].end())
        return {.status = statusConflict, .body = found->second};
    return this->put(kind, name, object.at("spec"));
}

ObjectStore::Answer ObjectStore::replace(const std::string &kind, const std::string &name, const nlohmann::json &object)
{
    const std::scoped_lock lock(this->mutex);
    const auto found = this->objects[kind].find(name);
    if (found == this->objects[kind].end())
        return {.status = statusNotFound};
    const std::uint64_t condition = conditionOf(object);
    if (condition != 0 && condition != conditionOf(found->second))
        return {.status = statusConflict, .body = found->second};
    if (found->second.at("spec") == object.at("spec"))
        return {.body = found->second};
    return this->put(kind, name, object.at("spec"));
}

ObjectStore::Answer ObjectStore::remove(const std::string &kind, const std::string &name, std::uint64_t condition)
{
    const std::scoped_lock lock(this->mutex);
    const auto found = this->objects[kind].find(name);
    if (found == this->objects[kind].end())
        return {.status = statusNotFound};
    if (condition != 0 && condition != conditionOf(found->second))
        return {.status = statusConflict, .body = found->second};
    this->revision += 1;
    nlohmann::json object = found->second;
    object["meta"]["Revision"] = this->revision;
    this->objects[kind].erase(found);
    this->events.push_back({.revision = this->revision, .kind = kind, .text = {{"Deleted", true}, {"Object", object}}});
    this->changed.notify_all();
    return {.body = object};
}

} // namespace Review
