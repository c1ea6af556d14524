#pragma once

#include "fakes/fakebackend.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace Jujubekeel {

/// Group of three fake backend servers a, b and c on one simulated clock, with a replication delay of 1 ms. Owned by a
/// test.
class FakeGroup final
{
public:
    explicit FakeGroup(const FakeBackendOptions &common = {});

    FakeBackend &server(const std::string &name) { return this->servers.at(name); }
    [[nodiscard]] ServerStatus status(const std::string &name) const
    {
        return this->servers.at(name).status(this->now);
    }

    /// Opens a session; std::nullopt if the server refuses it.
    std::optional<std::uint64_t> open(const std::string &name, const std::string &instance, bool control);
    /// Opens a control session that must be accepted.
    std::uint64_t openControl(const std::string &name, const std::string &instance = "p1");
    /// Takes the lock for \a instance if it is free and opens a work session.
    std::uint64_t openWork(const std::string &name, const std::string &instance = "p1");
    void close(const std::string &name, std::uint64_t session) { this->server(name).close(this->now, session); }

    /// Sends a request without waiting for the answer; returns its serial number.
    std::uint64_t send(const std::string &name, std::uint64_t session, BackendRequest request);
    /// Sends a request and advances the clock until the answer arrives, at most 1 s.
    BackendAnswer sendAndWait(const std::string &name, std::uint64_t session, BackendRequest request);
    /// Answer to a request that was sent; std::nullopt if there is none yet.
    [[nodiscard]] std::optional<BackendAnswer> answer(const std::string &name, std::uint64_t serial) const;
    [[nodiscard]] bool isClosed(const std::string &name, std::uint64_t session) const;

    /// Fences all servers that are not isolated with a new term, promotes one and makes the others follow it.
    void changePrimary(const std::string &name, std::uint64_t term, const std::string &promoter = "p1");

    void run(Duration duration);
    /// Drops replication messages between this server and the others, including those in transit.
    void isolate(const std::string &name) { this->isolated.insert(name); }
    void heal(const std::string &name) { this->isolated.erase(name); }

    /// Largest number of entries in one replication message so far.
    [[nodiscard]] std::size_t largestAppend() const { return this->maxAppendEntries; }

private:
    struct Message
    {
        TimePoint due{0};
        std::string from;
        std::string to;
        ReplicationMessage content;
    };

    void collectOutputs();

    TimePoint now{0};
    std::map<std::string, FakeBackend> servers;
    std::vector<Message> messages;
    std::map<std::pair<std::string, std::uint64_t>, BackendAnswer> answers; ///< by server and serial
    std::set<std::pair<std::string, std::uint64_t>> closed;                 ///< server and session
    std::map<std::string, std::uint64_t> lockSessions;
    std::set<std::string> isolated;
    std::uint64_t nextNumber = 1;
    std::size_t maxAppendEntries = 0;
};

} // namespace Jujubekeel
