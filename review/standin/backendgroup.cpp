#include "backendgroup.h"

#include "objectstore.h"
#include "recordfile.h"

#include <asio/steady_timer.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <utility>

namespace Review {

namespace {

using Json = nlohmann::json;

constexpr std::array<const char *, 3> zones{"pos-central", "sando-main", "arima-town"};
/// Three check-in intervals.
constexpr Milliseconds entryExpiry{3600};
/// A former primary goes on for a second after it can reach the new one.
constexpr Milliseconds formerPrimaryStays{1000};
constexpr std::uint64_t born = 1780000000000;

} // namespace

BackendGroup::BackendGroup(asio::io_context &eventLoop, ObjectStore &objectStore, RecordFile &recordFile,
                           BackendOptions options)
    : loop(eventLoop), store(objectStore), record(recordFile), backendOptions(std::move(options))
{
    for (std::size_t index = 0; index < zones.size(); ++index)
        this->backends.push_back(
            std::make_unique<Backend>(eventLoop, *this, recordFile, "i-" + std::to_string(index + 1)));
    this->backends.front()->primary = true;
    for (const auto &backend : this->backends)
        this->report(*backend);
}

void BackendGroup::later(Milliseconds delay, std::function<void()> action)
{
    auto timer = std::make_shared<asio::steady_timer>(this->loop, delay);
    timer->async_wait([timer, run = std::move(action)](const asio::error_code &) { run(); });
}

void BackendGroup::report(const Backend &backend)
{
    const auto place = std::find_if(this->backends.begin(), this->backends.end(),
                                    [&](const auto &other) { return other.get() == &backend; });
    const auto index = static_cast<std::size_t>(place - this->backends.begin());
    this->store.put("servers", backend.id,
                    Json{{"Service", this->backendOptions.service},
                         {"Address", backend.address()},
                         {"Zone", zones.at(index)},
                         {"Version", "v1"},
                         {"Slots", this->backendOptions.slots},
                         {"State", backend.draining ? "draining" : "ready"},
                         {"ColdLeftMs", 0},
                         {"DbRole", backend.primary ? "primary" : "replica"},
                         {"Seq", 1},
                         {"born", born}}
                        .dump());
}

void BackendGroup::crash(Backend &backend)
{
    this->record.write("platform", backend.id + " crashes");
    backend.crash();
    this->later(entryExpiry, [this, &backend] { this->store.erase("servers", backend.id); });
}

void BackendGroup::commit(Backend &primary, const std::string &statementId, std::vector<std::string> writes,
                          const std::function<void()> &acknowledge)
{
    const Position position{.term = primary.term, .number = primary.log.size() + 1};
    primary.log.push_back(Commit{.position = position, .id = statementId, .writes = std::move(writes)});
    primary.applied = primary.log.size();
    this->record.write(primary.id, "commits " + statementId + " at " + toText(position));
    if (primary.term < this->newestTerm)
        this->commitsAfterPromote.push_back(statementId);
    auto acknowledged = std::make_shared<bool>(!this->backendOptions.waitsForReplica);
    if (*acknowledged)
        acknowledge();
    for (const auto &replica : this->backends) {
        if (replica.get() == &primary)
            continue;
        this->later(this->backendOptions.shipping, [this, &primary, &replica, position, acknowledged, acknowledge] {
            this->ship(primary, *replica);
            const bool received = replica->log.size() >= position.number && replica->running;
            if (received && primary.running && !*acknowledged) {
                *acknowledged = true;
                acknowledge();
            }
        });
    }
}

void BackendGroup::ship(Backend &primary, Backend &replica)
{
    if (!primary.running || !primary.primary || !replica.running || !replica.receives || replica.primary
        || replica.term > primary.term)
        return;
    replica.term = primary.term;
    for (std::size_t index = replica.log.size(); index < primary.log.size(); ++index)
        replica.log.push_back(primary.log[index]);
    const std::size_t size = replica.log.size();
    this->later(this->backendOptions.applyLag, [&replica, size] {
        if (!replica.primary)
            replica.applied = std::max(replica.applied, std::min(size, replica.log.size()));
    });
}

void BackendGroup::promote(const HttpCall &call, const HttpServer::Respond &respond)
{
    const Json body = Json::parse(call.body, nullptr, false);
    const std::string id = body.is_object() ? body.value("Id", "") : "";
    const auto header = [&](const char *name) { return call.headers.contains(name) ? call.headers.at(name) : ""; };
    this->record.write("platform",
                       "promote " + id + " by " + header("duty-holder") + " fence " + header("fencing-token"));
    if (this->promoteReceived)
        this->promoteReceived(header("duty-holder"));
    const auto found = std::find_if(this->backends.begin(), this->backends.end(),
                                    [&](const auto &backend) { return backend->id == id && backend->running; });
    if (found == this->backends.end()) {
        respond({.status = 409, .body = "{}"});
        return;
    }
    if (!(*found)->primary)
        this->later(this->backendOptions.promotion, [this, &backend = **found] { this->lead(backend); });
    respond({.body = "{}"});
}

void BackendGroup::follow(Backend &former, Backend &leader)
{
    if (!former.running || former.term >= leader.term)
        return;
    former.primary = false;
    former.term = leader.term;
    const std::size_t common = std::min(former.log.size(), leader.log.size());
    std::size_t kept = 0;
    while (kept < common && former.log[kept].id == leader.log[kept].id)
        kept += 1;
    former.log.resize(kept);
    former.applied = std::min(former.applied, kept);
    this->report(former);
    this->later(this->backendOptions.shipping, [this, &former, &leader] { this->ship(leader, former); });
}

void BackendGroup::lead(Backend &backend)
{
    if (!backend.running || backend.primary)
        return;
    this->newestTerm += 1;
    this->promotionCount += 1;
    backend.term = this->newestTerm;
    backend.primary = true;
    backend.applied = backend.log.size();
    this->record.write("platform", backend.id + " leads term " + std::to_string(backend.term) + " with "
                                       + std::to_string(backend.log.size()) + " commits");
    for (const auto &other : this->backends) {
        if (other.get() == &backend || !other->running)
            continue;
        if (other->primary)
            this->later(formerPrimaryStays, [this, &backend, &other] { this->follow(*other, backend); });
        else
            this->follow(*other, backend);
    }
    this->report(backend);
    if (this->promoted)
        this->promoted(backend);
}

} // namespace Review
