#pragma once

#include <nlohmann/json.hpp>

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace Review {

struct HttpCall
{
    std::string method;
    std::string path; ///< without the query
    std::map<std::string, std::string> query;
    std::map<std::string, std::string> headers; ///< names in lower case
    std::string body;
};

struct HttpAnswer
{
    int status = 200;
    nlohmann::json body = nlohmann::json::object();
    std::uint64_t era = 0; ///< of the store; 0: not sent
};

/// The objects of the platform's store: conditional writes, lists and watches. Entries of backend servers expire without
/// check-ins, also while the store is down.
class ObjectStore final
{
public:
    /// Answers a call of the system.
    HttpAnswer handle(const HttpCall &call);

    /// Takes the copy from which restore() returns the store. Its era then rises, and later revisions are given out again.
    void takeCopy();
    void restore();
    /// Writes of the operator and of backend servers.
    void put(const std::string &kind, const std::string &name, const nlohmann::json &spec);
    /// Removes entries of backend servers that have not checked in for \a silence.
    void expireEntries(std::chrono::milliseconds silence);
    /// While it is down each call gets 503 and nothing is done.
    void setDown(bool isDown);
    [[nodiscard]] bool isDown();
    [[nodiscard]] nlohmann::json specOf(const std::string &kind, const std::string &name);

private:
    struct Object
    {
        std::uint64_t revision = 0;
        std::uint64_t created = 0;
        nlohmann::json spec;
        std::chrono::steady_clock::time_point writtenAt;
    };
    struct Event
    {
        std::uint64_t revision = 0;
        std::string kind;
        nlohmann::json object;
        bool deleted = false;
    };
    using Kind = std::map<std::string, Object>;
    struct Copy
    {
        std::map<std::string, Kind> kinds;
        std::uint64_t revision = 0;
    };

    static nlohmann::json toJson(const std::string &name, const Object &object);
    HttpAnswer answer(const HttpCall &call);
    HttpAnswer list(const std::string &kind, const HttpCall &call);
    HttpAnswer watch(const std::string &kind, const HttpCall &call);
    HttpAnswer create(const std::string &kind, const HttpCall &call);
    HttpAnswer replace(const std::string &kind, const std::string &name, const HttpCall &call);
    HttpAnswer remove(const std::string &kind, const std::string &name, const HttpCall &call);
    /// Both with the mutex held.
    const Object &write(const std::string &kind, const std::string &name, const nlohmann::json &spec);
    void erase(const std::string &kind, const std::string &name);

    std::mutex mutex;
    std::condition_variable changed;
    std::map<std::string, Kind> kinds;
    std::vector<Event> events;
    std::uint64_t revision = 100;
    std::uint64_t historyFrom = 0; ///< watches from lower revisions find no history
    std::uint64_t era = 1;
    Copy copy;
    bool down = false;
};

} // namespace Review
