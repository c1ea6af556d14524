#include "fakes/fakegroup.h"

#include <algorithm>
#include <array>
#include <cassert>

namespace Jujubekeel {

namespace {

constexpr Duration replicationDelay = std::chrono::milliseconds(1);

const std::array<std::string, 3> names{"a", "b", "c"};

} // namespace

FakeGroup::FakeGroup(const FakeBackendOptions &common)
{
    for (const std::string &name : names) {
        FakeBackendOptions options = common;
        options.name = name;
        options.group.assign(names.begin(), names.end());
        options.firstPrimary = names.front();
        this->servers.emplace(name, FakeBackend(options));
    }
    this->run(std::chrono::milliseconds(10));
}

std::optional<std::uint64_t> FakeGroup::open(const std::string &name, const std::string &instance, bool control)
{
    const std::uint64_t session = this->nextNumber++;
    if (!this->server(name).open(this->now, session, {.instance = instance, .control = control}))
        return std::nullopt;
    return session;
}

std::uint64_t FakeGroup::openControl(const std::string &name, const std::string &instance)
{
    const auto session = this->open(name, instance, true);
    assert(session);
    return *session;
}

std::uint64_t FakeGroup::openWork(const std::string &name, const std::string &instance)
{
    if (this->status(name).lockHolder.empty()) {
        this->lockSessions[name] = this->openControl(name, instance);
        this->sendAndWait(name, this->lockSessions[name], {.operation = BackendOperation::Lock});
    }
    const auto session = this->open(name, instance, false);
    assert(session);
    return *session;
}

std::uint64_t FakeGroup::send(const std::string &name, std::uint64_t session, BackendRequest request)
{
    request.serial = this->nextNumber++;
    this->server(name).request(this->now, session, request);
    this->collectOutputs();
    return request.serial;
}

BackendAnswer FakeGroup::sendAndWait(const std::string &name, std::uint64_t session, BackendRequest request)
{
    const std::uint64_t serial = this->send(name, session, std::move(request));
    for (int step = 0; step < 1000 && !this->answer(name, serial); ++step)
        this->run(std::chrono::milliseconds(1));
    const auto result = this->answer(name, serial);
    assert(result);
    return *result;
}

std::optional<BackendAnswer> FakeGroup::answer(const std::string &name, std::uint64_t serial) const
{
    const auto found = this->answers.find({name, serial});
    return found == this->answers.end() ? std::nullopt : std::optional(found->second);
}

bool FakeGroup::isClosed(const std::string &name, std::uint64_t session) const
{
    return this->closed.contains({name, session});
}

void FakeGroup::changePrimary(const std::string &name, std::uint64_t term, const std::string &promoter)
{
    for (const std::string &server : names) {
        if (!this->isolated.contains(server))
            this->sendAndWait(server, this->openControl(server, promoter),
                              {.operation = BackendOperation::Fence, .term = term});
    }
    this->sendAndWait(name, this->openControl(name, promoter), {.operation = BackendOperation::Promote, .term = term});
    for (const std::string &server : names) {
        if (server != name && !this->isolated.contains(server)) {
            this->sendAndWait(server, this->openControl(server, promoter),
                              {.operation = BackendOperation::Follow, .term = term, .primary = name});
        }
    }
    this->run(std::chrono::milliseconds(20));
}

void FakeGroup::run(Duration duration)
{
    const TimePoint end = this->now + duration;
    while (true) {
        TimePoint next = end;
        for (const auto &[name, server] : this->servers)
            next = std::min(next, server.nextEvent());
        for (const Message &message : this->messages)
            next = std::min(next, message.due);
        this->now = std::max(this->now, next);

        for (auto &[name, server] : this->servers)
            server.advance(this->now);
        this->collectOutputs();
        std::vector<Message> due;
        std::erase_if(this->messages, [&](const Message &message) {
            if (message.due > this->now)
                return false;
            due.push_back(message);
            return true;
        });
        for (const Message &message : due) {
            if (!this->isolated.contains(message.from) && !this->isolated.contains(message.to))
                this->server(message.to).replicate(this->now, message.from, message.content);
        }
        this->collectOutputs();
        if (this->now >= end && due.empty())
            return;
    }
}

void FakeGroup::collectOutputs()
{
    for (auto &[name, server] : this->servers) {
        for (FakeBackendOutput &output : server.takeOutputs()) {
            if (auto *answer = std::get_if<FakeBackendAnswer>(&output)) {
                this->answers[{name, answer->answer.serial}] = answer->answer;
            } else if (auto *closure = std::get_if<FakeBackendClosed>(&output)) {
                this->closed.insert({name, closure->session});
            } else if (auto *replication = std::get_if<FakeBackendReplication>(&output)) {
                if (this->isolated.contains(name) || this->isolated.contains(replication->to))
                    continue;
                if (const auto *append = std::get_if<ReplicationAppend>(&replication->message))
                    this->maxAppendEntries = std::max(this->maxAppendEntries, append->entries.size());
                this->messages.push_back({.due = this->now + replicationDelay,
                                          .from = name,
                                          .to = replication->to,
                                          .content = std::move(replication->message)});
            }
        }
    }
}

} // namespace Jujubekeel
