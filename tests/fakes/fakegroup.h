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

/// Three fake backend servers a, b and c on one clock, with a replication delay of 1 ms. Owned by a test.
class FakeGroup final
{
public:
    explicit FakeGroup(const FakeBackendOptions &common = {});

    FakeBackend &server(const std::string &name) { return this->servers.at(name); }
    [[nodiscard]] ServerStatus status(const std::string &name) const
    {
        return this->servers.at(name).status(this->now);
    }

    /// Opens a session; empty if the server refused it.
    std::optional<std::uint64_t> open(const std::string &name, const std::string &instance, bool control);
    /// Opens a control session that must be accepted.
    std::uint64_t openControl(const std::string &name, const std::string &instance = "p1");
    /// Takes the lock for \a instance if nobody holds it and opens a work session.
    std::uint64_t openWork(const std::string &name, const std::string &instance = "p1");
    void close(const std::string &name, std::uint64_t session) { this->server(name).close(this->now, session); }

    /// Sends without waiting for the answer.
    std::uint64_t send(const std::string &name, std::uint64_t session, BackendRequest request);
    /// Sends and runs the clock until the answer is there, at most 1 s.
    BackendAnswer sendAndWait(const std::string &name, std::uint64_t session, BackendRequest request);
    /// Answer to a request that was sent; empty if none came yet.
    [[nodiscard]] std::optional<BackendAnswer> answer(const std::string &name, std::uint64_t serial) const;
    [[nodiscard]] bool isClosed(const std::string &name, std::uint64_t session) const;

    /// Fences all reachable servers with a new term, promotes one and tells the other reachable ones to follow it.
    void changePrimary(const std::string &name, std::uint64_t term, const std::string &promoter = "p1");

    void run(Duration duration);
    /// Drops replication between this server and the others, also what is on its way.
    void isolate(const std::string &name) { this->cutOff.insert(name); }
    void heal(const std::string &name) { this->cutOff.erase(name); }

    /// Largest number of entries in one replication message so far.
    [[nodiscard]] std::size_t largestAppend() const { return this->largestBatch; }

private:
    struct Message
    {
        TimePoint due{0};
        std::string from;
        std::string to;
        ReplicationMessage content;
    };

    void collect();

    TimePoint now{0};
    std::map<std::string, FakeBackend> servers;
    std::vector<Message> messages;
    std::map<std::pair<std::string, std::uint64_t>, BackendAnswer> answers; ///< by server and serial
    std::set<std::pair<std::string, std::uint64_t>> closed;                 ///< server and session
    std::map<std::string, std::uint64_t> lockSessions;
    std::set<std::string> cutOff;
    std::uint64_t nextNumber = 1;
    std::size_t largestBatch = 0;
};

} // namespace Jujubekeel
