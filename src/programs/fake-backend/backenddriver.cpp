#include "programs/fake-backend/backenddriver.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace Jujubekeel {

namespace {

/// Interval at which a waiting call checks whether its client has disconnected.
constexpr Duration disconnectPollInterval = std::chrono::milliseconds(100);

TimePoint steadyTime()
{
    return std::chrono::duration_cast<TimePoint>(std::chrono::steady_clock::now().time_since_epoch());
}

} // namespace

BackendDriver::BackendDriver(const FakeBackendOptions &options) : server(options)
{
    for (const std::string &name : options.group) {
        if (name != options.name)
            this->links.emplace(name, std::make_unique<ReplicationLink>(options.name));
    }
    this->thread = std::thread([this] { this->run(); });
}

BackendDriver::~BackendDriver()
{
    {
        const std::scoped_lock lock(this->mutex);
        this->stopping = true;
    }
    this->changed.notify_all();
    this->thread.join();
}

std::optional<OpenResult> BackendDriver::open(std::uint64_t session, const BackendLogin &login,
                                              const std::function<bool()> &isDisconnected)
{
    Lock lock(this->mutex);
    if (!this->waitWhileFrozen(lock, isDisconnected))
        return std::nullopt;
    const std::uint64_t refusals = this->server.connectionRefusals();
    const bool ok = this->server.open(steadyTime(), session, login);
    if (ok)
        this->sessions.insert(session);
    const bool limitReached = this->server.connectionRefusals() > refusals;
    this->processOutputs(lock);
    if (ok)
        return OpenResult::Ok;
    return limitReached ? OpenResult::LimitReached : OpenResult::NotLockHolder;
}

std::optional<BackendAnswer> BackendDriver::request(std::uint64_t session, const BackendRequest &request,
                                                    const std::function<bool()> &isDisconnected)
{
    Lock lock(this->mutex);
    if (!this->waitWhileFrozen(lock, isDisconnected))
        return std::nullopt;
    this->answers.erase(session);
    this->server.request(steadyTime(), session, request);
    this->processOutputs(lock);
    while (!this->stopping && this->sessions.contains(session) && (this->frozen || !this->answers.contains(session))) {
        if (isDisconnected())
            return std::nullopt;
        this->changed.wait_for(lock, disconnectPollInterval);
    }
    auto node = this->answers.extract(session);
    if (node.empty() || this->stopping)
        return std::nullopt;
    return std::move(node.mapped());
}

void BackendDriver::close(std::uint64_t session)
{
    Lock lock(this->mutex);
    // A frozen server handles the end of a session only after it has resumed.
    this->changed.wait(lock, [&] { return this->stopping || !this->frozen || !this->sessions.contains(session); });
    if (this->sessions.erase(session) == 0)
        return;
    this->answers.erase(session);
    this->server.close(steadyTime(), session);
    this->processOutputs(lock);
}

bool BackendDriver::isOpen(std::uint64_t session)
{
    const std::scoped_lock lock(this->mutex);
    return this->sessions.contains(session);
}

void BackendDriver::replicate(const std::string &from, const ReplicationMessage &message)
{
    Lock lock(this->mutex);
    if (this->frozen || this->isolatedFrom.contains(from) || !this->links.contains(from))
        return;
    this->server.replicate(steadyTime(), from, message);
    this->processOutputs(lock);
}

bool BackendDriver::setAddress(const std::string &name, const std::string &address)
{
    const std::scoped_lock lock(this->mutex);
    const auto found = this->links.find(name);
    if (found == this->links.end())
        return false;
    found->second->setAddress(address);
    return true;
}

void BackendDriver::setIsolatedFrom(std::set<std::string> names)
{
    const std::scoped_lock lock(this->mutex);
    this->isolatedFrom = std::move(names);
}

void BackendDriver::setApplyLag(Duration lag)
{
    const std::scoped_lock lock(this->mutex);
    this->server.setApplyLag(lag);
    this->changed.notify_all();
}

void BackendDriver::setFrozen(bool newFrozen)
{
    const std::scoped_lock lock(this->mutex);
    this->frozen = newFrozen;
    this->changed.notify_all();
}

void BackendDriver::inspect(const std::function<void(const FakeBackend &, TimePoint)> &reader)
{
    const std::scoped_lock lock(this->mutex);
    reader(this->server, steadyTime());
}

void BackendDriver::run()
{
    Lock lock(this->mutex);
    while (!this->stopping) {
        if (this->frozen) {
            this->changed.wait(lock);
            continue;
        }
        this->server.advance(steadyTime());
        this->processOutputs(lock);
        const TimePoint now = steadyTime();
        const TimePoint next = std::min(this->server.nextEvent(), now + std::chrono::seconds(1));
        if (next > now)
            this->changed.wait_for(lock, next - now);
    }
}

void BackendDriver::processOutputs(Lock &lock)
{
    std::vector<std::uint64_t> closed;
    for (FakeBackendOutput &output : this->server.takeOutputs()) {
        if (auto *answer = std::get_if<FakeBackendAnswer>(&output)) {
            this->answers.insert_or_assign(answer->session, std::move(answer->answer));
        } else if (auto *closure = std::get_if<FakeBackendClosed>(&output)) {
            this->sessions.erase(closure->session);
            closed.push_back(closure->session);
        } else if (auto *replication = std::get_if<FakeBackendReplication>(&output)) {
            if (!this->isolatedFrom.contains(replication->to))
                this->links.at(replication->to)->send(std::move(replication->message));
        }
    }
    this->changed.notify_all();
    if (closed.empty() || !this->closedCallback)
        return;
    lock.unlock();
    for (const std::uint64_t session : closed)
        this->closedCallback(session);
    lock.lock();
}

bool BackendDriver::waitWhileFrozen(Lock &lock, const std::function<bool()> &isDisconnected)
{
    while (this->frozen && !this->stopping) {
        if (isDisconnected())
            return false;
        this->changed.wait_for(lock, disconnectPollInterval);
    }
    return !this->stopping;
}

} // namespace Jujubekeel
