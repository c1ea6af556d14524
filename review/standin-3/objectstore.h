#pragma once

#include <nlohmann/json.hpp>

#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace Review {

/// The platform's store: objects by kind and name with one revision counter, conditional writes and watches. Thread-safe.
class ObjectStore final
{
public:
    struct Answer
    {
        int status = 200;
        nlohmann::json body = nlohmann::json::object();
    };

    Answer list(const std::string &kind);
    /// Returns as soon as there is an event after \a revision, or after \a waitMs.
    Answer watch(const std::string &kind, std::uint64_t revision, std::int64_t waitMs);
    Answer create(const std::string &kind, const nlohmann::json &object);
    Answer replace(const std::string &kind, const std::string &name, const nlohmann::json &object);
    /// \a revision: condition; 0: none.
    Answer remove(const std::string &kind, const std::string &name, std::uint64_t revision);

private:
    struct Event
    {
        std::uint64_t revision = 0;
        std::string kind;
        nlohmann::json text;
    };

    Answer put(const std::string &kind, const std::string &name, const nlohmann::json &spec);

    std::mutex mutex;
    std::condition_variable changed;
    std::uint64_t revision = 100;
    std::map<std::string, std::map<std::string, nlohmann::json>> objects; ///< by kind and name
    std::vector<Event> events;
};

} // namespace Review
