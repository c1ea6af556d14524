#include "net/backendconnections.h"

#include "net/httpclient.h"
#include "net/logger.h"
#include "net/trafficcounters.h"
#include "wire/backendjson.h"

#include <poll.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include <array>
#include <cassert>
#include <deque>
#include <optional>
#include <thread>
#include <utility>
#include <vector>

namespace Jujubekeel {

struct BackendConnections::Entry
{
    Entry(ConnectionId entryId, BackendId entryBackend, bool isControl, std::string address, Duration connectTimeout)
        : id(entryId), backend(entryBackend), control(isControl), client(std::move(address), connectTimeout),
          wake(eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK))
    {
    }
    ~Entry()
    {
        if (this->wake >= 0)
            ::close(this->wake);
    }
    Entry(const Entry &) = delete;
    Entry &operator=(const Entry &) = delete;

    void notify() const
    {
        const std::uint64_t one = 1;
        [[maybe_unused]] const auto written = ::write(this->wake, &one, sizeof one);
    }

    const ConnectionId id;
    const BackendId backend;
    const bool control;
    HttpClient client;
    const int wake; ///< eventfd, signalled when a request is queued or the connection is to be closed

    std::mutex mutex;
    std::deque<BackendRequest> requests;
    bool closed = false; ///< closed by the core; no input may be posted for this connection any more
};

BackendConnections::BackendConnections(BackendConnectionsOptions connectionOptions, Post postFunction, Logger &log,
                                       TrafficCounters &trafficCounters)
    : options(std::move(connectionOptions)), post(std::move(postFunction)), logger(log), counters(trafficCounters)
{
    assert(this->post);
}

BackendConnections::~BackendConnections()
{
    std::vector<ConnectionId> open;
    {
        const std::scoped_lock lock(this->mutex);
        for (const auto &[id, entry] : this->entries)
            open.push_back(id);
    }
    for (const ConnectionId id : open)
        this->close(CloseConnection{.connection = id});
    std::unique_lock lock(this->mutex);
    this->finished.wait(lock, [this] { return this->threads == 0; });
}

std::size_t BackendConnections::count() const
{
    const std::scoped_lock lock(this->mutex);
    return this->entries.size();
}

void BackendConnections::open(const OpenConnection &action)
{
    const std::scoped_lock lock(this->mutex);
    assert(!this->entries.contains(action.connection));
    if (!action.control && this->workThreads >= this->options.workThreads) {
        this->counters.add("jujubekeel_backend_connections_refused_total");
        this->post(ConnectionOpened{.connection = action.connection,
                                    .ok = false,
                                    .text = "the limit of work connections (backend_threads) is reached"});
        return;
    }
    const auto entry =
        std::make_shared<Entry>(action.connection, action.backend, action.control,
                                this->options.layout.at(action.backend).address, this->options.connectTimeout);
    this->entries.emplace(action.connection, entry);
    this->threads += 1;
    this->workThreads += action.control ? 0 : 1;
    std::thread([this, entry] { this->run(entry); }).detach();
}

void BackendConnections::send(SendToBackend action)
{
    EntryPointer entry;
    {
        const std::scoped_lock lock(this->mutex);
        const auto found = this->entries.find(action.connection);
        if (found == this->entries.end())
            return; // refused or lost, which has been reported by an input
        entry = found->second;
    }
    {
        const std::scoped_lock lock(entry->mutex);
        entry->requests.push_back(std::move(action.request));
    }
    entry->notify();
}

void BackendConnections::close(const CloseConnection &action)
{
    EntryPointer entry;
    {
        const std::scoped_lock lock(this->mutex);
        auto node = this->entries.extract(action.connection);
        if (node.empty())
            return;
        entry = std::move(node.mapped());
    }
    {
        const std::scoped_lock lock(entry->mutex);
        entry->closed = true;
    }
    entry->client.cancel();
    entry->notify();
}

void BackendConnections::report(const EntryPointer &entry, Input input)
{
    const std::scoped_lock lock(entry->mutex);
    if (!entry->closed)
        this->post(std::move(input));
}

void BackendConnections::run(const EntryPointer &entry)
{
    if (this->login(entry)) {
        this->report(entry, ConnectionOpened{.connection = entry->id, .ok = true, .text = {}});
        BackendRequest request;
        while (this->waitForRequest(entry, request) && this->exchange(entry, request)) {
        }
        this->report(entry, ConnectionLost{.connection = entry->id});
    }

    // The destructor waits until no thread is counted, so this block must be the last use of the object.
    const std::scoped_lock lock(this->mutex);
    const auto found = this->entries.find(entry->id);
    if (found != this->entries.end() && found->second == entry)
        this->entries.erase(found);
    this->workThreads -= entry->control ? 0 : 1;
    this->threads -= 1;
    this->finished.notify_all();
}

bool BackendConnections::login(const EntryPointer &entry)
{
    std::string error;
    if (entry->client.connect(error)) {
        const BackendLogin login{.instance = this->options.instance, .control = entry->control};
        const auto response = entry->client.exchange(
            HttpClientRequest{.method = "POST", .path = "/v1/open", .headers = {}, .body = toJsonText(login)},
            this->options.openTimeout, error);
        if (response && response->status == 200)
            return true;
        if (response)
            error = "/v1/open failed with HTTP status " + std::to_string(response->status) + ": "
                    + response->body.substr(0, 200);
    }
    this->report(entry, ConnectionOpened{.connection = entry->id, .ok = false, .text = error});
    return false;
}

bool BackendConnections::waitForRequest(const EntryPointer &entry, BackendRequest &request)
{
    while (true) {
        {
            const std::scoped_lock lock(entry->mutex);
            if (entry->closed)
                return false;
            if (!entry->requests.empty()) {
                request = std::move(entry->requests.front());
                entry->requests.pop_front();
                return true;
            }
        }
        std::array<pollfd, 2> watched{{
            {.fd = entry->wake, .events = POLLIN, .revents = 0},
            {.fd = entry->client.descriptor(), .events = POLLIN | POLLRDHUP, .revents = 0},
        }};
        ::poll(watched.data(), watched.size(), -1);
        if (watched[1].revents != 0)
            return false; // closed by the server, or data received without a request
        std::uint64_t count = 0;
        [[maybe_unused]] const auto bytes = ::read(entry->wake, &count, sizeof count);
    }
}

bool BackendConnections::exchange(const EntryPointer &entry, const BackendRequest &request)
{
    const std::string_view channel = entry->control ? "backend-control" : "backend-work";
    const std::string_view kind = backendOperationName(request.operation);
    std::string error;
    const auto response = entry->client.exchange(
        HttpClientRequest{.method = "POST", .path = "/v1/request", .headers = {}, .body = toJsonText(request)},
        Duration{0}, error);
    this->counters.count(channel, TrafficCounters::Direction::Sent, kind, entry->client.bytesSent());
    if (!response)
        return false;
    this->counters.count(channel, TrafficCounters::Direction::Received, kind, entry->client.bytesReceived());

    FailureReason reason;
    auto answer = response->status == 200 ? backendAnswerFromText(response->body, reason) : std::nullopt;
    if (!answer) {
        this->logger.write(
            LogLevel::Warning, "backend-answer-invalid",
            {{"backend_server", this->options.layout.at(entry->backend).name},
             {"operation", std::string(kind)},
             {"text", response->status == 200 ? reason.text() : "HTTP status " + std::to_string(response->status)}});
        return false;
    }
    this->report(entry, BackendAnswered{.connection = entry->id, .answer = std::move(*answer)});
    return true;
}

} // namespace Jujubekeel
