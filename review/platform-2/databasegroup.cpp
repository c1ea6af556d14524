#include "databasegroup.h"

#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <sstream>
#include <utility>

namespace Review {

namespace {

using Json = nlohmann::json;

constexpr std::chrono::milliseconds replicationInterval(1);
constexpr std::chrono::milliseconds checkInInterval(50);
/// A replaced primary learns of it a second after it can reach the new one.
constexpr std::chrono::seconds stepDownDelay(1);
constexpr std::size_t queueLimit = 24;

std::string takeWord(std::string &rest)
{
    const std::size_t blank = std::min(rest.find(' '), rest.size());
    std::string word = rest.substr(0, blank);
    rest.erase(0, blank + 1);
    return word;
}

/// Milliseconds of work that an item asks for, as in "item/200".
int workOf(const std::string &item, int usual)
{
    const std::size_t slash = item.find('/');
    return slash == std::string::npos ? usual : std::atoi(item.c_str() + slash + 1);
}

} // namespace

DatabaseGroup::DatabaseGroup(GroupOptions groupOptions, ObjectStore &objectStore, Recorder &caseRecorder)
    : options(std::move(groupOptions)), store(objectStore), recorder(caseRecorder)
{
    for (std::size_t index = 0; index < this->options.zones.size(); ++index) {
        this->servers.push_back(
            Server{.id = "i-" + this->options.service + "-" + std::to_string(index), .primary = index == 0});
        this->start(index);
    }
    this->replication = std::thread([this] { this->replicate(); });
    this->checkIns = std::thread([this] { this->checkIn(); });
}

DatabaseGroup::~DatabaseGroup()
{
    for (std::size_t index = 0; index < this->servers.size(); ++index)
        this->crash(index);
    this->stopping = true;
    this->replication.join();
    this->checkIns.join();
    while (this->threads > 0)
        std::this_thread::sleep_for(checkInInterval);
}

std::string DatabaseGroup::idOf(std::size_t server) const
{
    return this->servers[server].id;
}

void DatabaseGroup::start(std::size_t index)
{
    Server &server = this->servers[index];
    server.listener = listenAt(this->options.endpoints[index]);
    server.born =
        std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch())
            .count();
    this->threads += 1;
    std::thread([this, index, listener = server.listener, starts = server.starts] {
        this->accept(index, listener, starts);
        this->threads -= 1;
    }).detach();
}

void DatabaseGroup::crash(std::size_t index)
{
    const std::scoped_lock lock(this->mutex);
    Server &server = this->servers[index];
    if (!server.running)
        return;
    server.running = false;
    server.starts += 1;
    server.waiting.clear();
    server.busySlots = 0;
    ::shutdown(server.listener, SHUT_RDWR);
    for (const int descriptor : server.connections)
        ::shutdown(descriptor, SHUT_RDWR);
    this->recorder.write(server.id, "crashes");
    this->changed.notify_all();
}

void DatabaseGroup::restart(std::size_t index)
{
    const std::scoped_lock lock(this->mutex);
    Server &server = this->servers[index];
    if (server.running)
        return;
    server.running = true;
    server.primary = server.primary && this->newestTerm == server.term;
    this->start(index);
    this->recorder.write(server.id, std::string("is back as ") + (server.primary ? "primary" : "replica"));
}

void DatabaseGroup::setDeaf(std::size_t index, bool deaf)
{
    const std::scoped_lock lock(this->mutex);
    this->servers[index].deaf = deaf;
    this->recorder.write(this->servers[index].id, deaf ? "receives nothing from now on" : "receives again");
}

void DatabaseGroup::setCutOff(std::size_t index, bool cutOff)
{
    const std::scoped_lock lock(this->mutex);
    this->servers[index].cutOff = cutOff;
    if (!cutOff && this->stepDownAt.contains(index))
        this->stepDownAt[index] = Clock::now() + stepDownDelay;
    this->recorder.write(this->servers[index].id,
                         cutOff ? "is cut off from the other servers" : "reaches the others again");
}

void DatabaseGroup::setDraining(std::size_t index)
{
    const std::scoped_lock lock(this->mutex);
    this->servers[index].draining = true;
    this->recorder.write(this->servers[index].id, "reports draining");
}

void DatabaseGroup::setSilent(std::size_t index, bool silent)
{
    const std::scoped_lock lock(this->mutex);
    this->servers[index].silent = silent;
    this->recorder.write(this->servers[index].id,
                         silent ? "is cut off from the instances" : "is reached by the instances again");
    this->changed.notify_all();
}

int DatabaseGroup::promote(const std::string &id, const std::string &holder, const std::string &token)
{
    std::unique_lock lock(this->mutex);
    const auto found =
        std::find_if(this->servers.begin(), this->servers.end(), [&](const Server &server) { return server.id == id; });
    this->recorder.write("platform", "promote " + id + " by " + holder + " with fence number " + token);
    if (found == this->servers.end() || !found->running)
        return 409;
    const auto index = static_cast<std::size_t>(found - this->servers.begin());
    if (found->primary && found->term == this->newestTerm)
        return 200;
    this->threads += 1;
    std::thread([this, index, starts = found->starts] {
        std::this_thread::sleep_for(std::chrono::milliseconds(this->options.promoteMs));
        {
            const std::scoped_lock inner(this->mutex);
            Server &server = this->servers[index];
            const bool isLeading = server.primary && server.term == this->newestTerm;
            if (server.running && server.starts == starts && !isLeading) {
                for (std::size_t other = 0; other < this->servers.size(); ++other) {
                    if (this->servers[other].primary)
                        this->stepDownAt[other] = Clock::now() + stepDownDelay;
                }
                this->newestTerm += 1;
                server.primary = true;
                server.term = this->newestTerm;
                server.heldTerm = 0;
                this->promotionCount += 1;
                this->recorder.write(server.id, "leads term " + std::to_string(server.term) + " from "
                                                    + std::to_string(this->lastOf(server).number));
                this->changed.notify_all();
            }
        }
        this->threads -= 1;
    }).detach();
    return 200;
}

std::optional<std::size_t> DatabaseGroup::leaderIndex() const
{
    std::optional<std::size_t> best;
    for (std::size_t index = 0; index < this->servers.size(); ++index) {
        const Server &server = this->servers[index];
        if (server.running && server.primary && (!best || this->servers[*best].term < server.term))
            best = index;
    }
    return best;
}

std::optional<std::size_t> DatabaseGroup::leader()
{
    const std::scoped_lock lock(this->mutex);
    return this->leaderIndex();
}

bool DatabaseGroup::holds(std::size_t server, const std::string &id)
{
    const std::scoped_lock lock(this->mutex);
    const std::vector<Entry> &log = this->servers[server].log;
    return std::any_of(log.begin(), log.end(), [&](const Entry &entry) { return entry.id == id; });
}

std::size_t DatabaseGroup::promotions()
{
    const std::scoped_lock lock(this->mutex);
    return this->promotionCount;
}

std::string DatabaseGroup::positionOf(std::size_t server)
{
    const std::scoped_lock lock(this->mutex);
    const Position last = this->lastOf(this->servers[server]);
    return std::to_string(last.term) + '.' + std::to_string(last.number);
}

DatabaseGroup::Position DatabaseGroup::lastOf(const Server &server) const
{
    return server.log.empty() ? Position{.term = 1, .number = 0} : server.log.back().position;
}

DatabaseGroup::Position DatabaseGroup::appliedOf(const Server &server) const
{
    if (server.primary)
        return this->lastOf(server);
    const auto applied = Clock::now() - std::chrono::milliseconds(this->options.applyMs);
    Position position{.term = 1, .number = 0};
    for (const Entry &entry : server.log) {
        if (entry.receivedAt <= applied)
            position = entry.position;
    }
    return position;
}

void DatabaseGroup::replicate()
{
    while (!this->stopping) {
        std::this_thread::sleep_for(replicationInterval);
        const std::scoped_lock lock(this->mutex);
        for (auto due = this->stepDownAt.begin(); due != this->stepDownAt.end();) {
            Server &old = this->servers[due->first];
            const bool isDue = Clock::now() >= due->second && old.running && !old.cutOff;
            if (isDue && old.term < this->newestTerm)
                old.primary = false;
            due = isDue ? this->stepDownAt.erase(due) : std::next(due);
        }
        const auto leading = this->leaderIndex();
        if (!leading || this->servers[*leading].cutOff)
            continue;
        const std::vector<Entry> &source = this->servers[*leading].log;
        const auto shipped = Clock::now() - std::chrono::milliseconds(this->options.shipMs);
        for (Server &replica : this->servers) {
            if (!replica.running || replica.primary || replica.deaf || replica.cutOff)
                continue;
            replica.term = this->servers[*leading].term;
            std::size_t common = 0;
            while (common < std::min(source.size(), replica.log.size())
                   && source[common].position == replica.log[common].position
                   && source[common].id == replica.log[common].id)
                common += 1;
            replica.log.resize(common);
            while (replica.log.size() < source.size() && source[replica.log.size()].receivedAt <= shipped) {
                replica.log.push_back(source[replica.log.size()]);
                replica.log.back().receivedAt = Clock::now();
                this->changed.notify_all();
            }
        }
    }
}

void DatabaseGroup::checkIn()
{
    std::map<std::string, std::string> written;
    std::map<std::string, Clock::time_point> writtenAt;
    while (!this->stopping) {
        std::this_thread::sleep_for(checkInInterval);
        this->store.expireEntries(std::chrono::milliseconds(3 * this->options.heartbeatMs));
        if (this->store.isDown())
            continue;
        std::vector<std::pair<std::string, Json>> entries;
        {
            const std::scoped_lock lock(this->mutex);
            for (std::size_t index = 0; index < this->servers.size(); ++index) {
                const Server &server = this->servers[index];
                if (!server.running)
                    continue;
                entries.emplace_back(server.id, Json{{"Service", this->options.service},
                                                     {"Address", this->options.endpoints[index].text()},
                                                     {"Zone", this->options.zones[index]},
                                                     {"Version", "v1"},
                                                     {"Slots", this->options.slots},
                                                     {"State", server.draining ? "draining" : "ready"},
                                                     {"ColdLeftMs", 0},
                                                     {"DbRole", server.primary ? "primary" : "replica"},
                                                     {"Seq", 1},
                                                     {"born", server.born}});
            }
        }
        for (const auto &[id, entry] : entries) {
            const std::string text = entry.dump();
            const bool isDue = Clock::now() - writtenAt[id] >= std::chrono::milliseconds(this->options.heartbeatMs);
            if (written[id] == text && !isDue)
                continue;
            written[id] = text;
            writtenAt[id] = Clock::now();
            this->store.put("servers", id, entry);
        }
    }
}

void DatabaseGroup::accept(std::size_t index, int listener, std::uint64_t starts)
{
    while (true) {
        const int descriptor = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
        const std::scoped_lock lock(this->mutex);
        Server &server = this->servers[index];
        if (!server.running || server.starts != starts || descriptor < 0) {
            if (descriptor >= 0)
                resetSocket(descriptor);
            ::close(listener);
            return;
        }
        server.connections.insert(descriptor);
        this->threads += 1;
        std::thread([this, index, descriptor, starts] {
            this->serve(index, descriptor, starts);
            {
                const std::scoped_lock inner(this->mutex);
                this->servers[index].connections.erase(descriptor);
            }
            resetSocket(descriptor);
            this->threads -= 1;
        }).detach();
    }
}

bool DatabaseGroup::isLive(const Session &session) const
{
    const Server &server = this->servers[session.server];
    return server.running && server.starts == session.starts;
}

bool DatabaseGroup::occupySlot(Session &session, int milliseconds)
{
    std::unique_lock lock(this->mutex);
    Server &server = this->servers[session.server];
    if (!this->isLive(session))
        return false;
    const std::uint64_t ticket = this->nextTicket++;
    server.waiting.push_back(ticket);
    this->changed.wait(lock, [&] {
        return !this->isLive(session) || (server.busySlots < this->options.slots && server.waiting.front() == ticket);
    });
    if (!this->isLive(session))
        return false;
    server.waiting.pop_front();
    server.busySlots += 1;
    this->changed.notify_all();
    lock.unlock();
    std::this_thread::sleep_for(std::chrono::milliseconds(milliseconds));
    lock.lock();
    if (!this->isLive(session))
        return false;
    server.busySlots -= 1;
    this->changed.notify_all();
    return true;
}

bool DatabaseGroup::greet(Session &session, const std::string &line)
{
    std::string rest = line;
    const std::string verb = takeWord(rest);
    const std::string service = takeWord(rest);
    takeWord(rest);
    bool crowded = false;
    {
        const std::scoped_lock lock(this->mutex);
        crowded = this->servers[session.server].connections.size() > this->options.maxConnections;
    }
    const std::string id = this->idOf(session.server);
    if (verb != "CONNECT" || service != this->options.service || (!rest.empty() && rest != id)) {
        sendAll(session.descriptor, "ERROR MISROUTED " + id + "\r\n");
        return false;
    }
    if (crowded) {
        sendAll(session.descriptor, "ERROR OVERLOAD " + id + "\r\n");
        return false;
    }
    return this->occupySlot(session, this->options.handshakeMs);
}

void DatabaseGroup::serve(std::size_t index, int descriptor, std::uint64_t starts)
{
    Session session{.descriptor = descriptor, .server = index, .starts = starts};
    SocketReader reader(descriptor);
    const auto passed = [&] {
        std::unique_lock lock(this->mutex);
        this->changed.wait(lock, [&] { return !this->isLive(session) || !this->servers[index].silent; });
        return this->isLive(session);
    };
    const auto first = reader.line();
    if (!passed())
        return;
    if (!first || !this->greet(session, *first))
        return;
    const auto ready = [&] {
        const std::scoped_lock lock(this->mutex);
        const Position at = this->appliedOf(this->servers[index]);
        return std::string("READY ") + session.state + ' ' + std::to_string(at.term) + '.' + std::to_string(at.number)
               + "\r\n";
    };
    if (!sendAll(descriptor, ready()))
        return;
    while (auto line = reader.line()) {
        std::string rest = *line;
        if (!passed() || takeWord(rest) != "QUERY")
            return;
        const std::string id = takeWord(rest);
        const Result result = this->run(session, id, rest);
        if (!passed())
            return;
        std::string answer;
        for (const std::string &row : result.rows)
            answer += "ROW " + row + "\r\n";
        if (!result.error.empty() && session.state == 'T')
            session.state = 'E';
        answer += result.error.empty() ? "DONE " + result.digest + "\r\n" : "ERROR " + result.error + "\r\n";
        if (!sendAll(descriptor, answer + ready()))
            return;
    }
}

DatabaseGroup::Result DatabaseGroup::status(Session &session)
{
    if (!this->occupySlot(session, 1))
        return {};
    const std::scoped_lock lock(this->mutex);
    const Server &server = this->servers[session.server];
    const Position last = this->lastOf(server);
    std::ostringstream row;
    row << (server.primary ? "primary " : "replica ") << server.term << ' ' << last.term << '.' << last.number << ' '
        << server.heldTerm << " 0 " << server.busySlots << ' ' << server.connections.size();
    this->recorder.write(server.id, "STATUS: " + row.str());
    return Result{.rows = {row.str()}};
}

DatabaseGroup::Result DatabaseGroup::run(Session &session, const std::string &id, std::string text)
{
    std::optional<Position> after;
    if (text.starts_with("AFTER ")) {
        takeWord(text);
        const std::string position = takeWord(text);
        const std::size_t point = position.find('.');
        after = Position{.term = std::strtoull(position.c_str(), nullptr, 10),
                         .number = std::strtoull(position.c_str() + point + 1, nullptr, 10)};
    }
    std::string rest = text;
    const std::string verb = takeWord(rest);
    if (verb == "STATUS")
        return this->status(session);
    if (verb == "SET")
        return {};
    if (verb == "PREPARE") {
        const std::string name = takeWord(rest);
        const bool writes = takeWord(rest) == "WRITE";
        session.prepared[name] = {writes, rest};
        return {};
    }
    if (verb == "RESET") {
        session.prepared.clear();
        return {};
    }
    if (verb == "ROLLBACK") {
        session.state = 'I';
        session.writes.clear();
        return {};
    }
    if (session.state == 'E')
        return Result{.error = "MALFORMED transaction failed"};
    bool writes = verb == "WRITE";
    if (verb == "EXECUTE") {
        const auto found = session.prepared.find(takeWord(rest));
        if (found == session.prepared.end())
            return Result{.error = "UNKNOWN no such name"};
        writes = found->second.first;
        text = found->second.second + ' ' + rest;
    }
    {
        const std::scoped_lock lock(this->mutex);
        const Server &server = this->servers[session.server];
        const bool isPlain = session.state == 'T' && !session.readOnly;
        const bool isEmptyCommit = verb == "COMMIT" && session.writes.empty();
        const bool needsPrimary = writes || (verb == "BEGIN" && rest != "READ") || (isPlain && !isEmptyCommit);
        if (needsPrimary && !server.primary)
            return Result{.error = "READONLY " + server.id};
        if (after && this->appliedOf(server) < *after)
            return Result{.error = "LAGGING " + server.id};
        if (verb != "BEGIN" && server.waiting.size() >= queueLimit)
            return Result{.error = "BUSY " + server.id};
    }
    if (verb == "BEGIN") {
        session.state = 'T';
        session.readOnly = rest == "READ";
        session.writes.clear();
        return {};
    }
    return this->runStatement(session, id, rest, writes);
}

DatabaseGroup::Result DatabaseGroup::runStatement(Session &session, const std::string &id, const std::string &text,
                                                  bool writes)
{
    std::string rest = text;
    const std::string item = takeWord(rest);
    if (!this->occupySlot(session, workOf(item, this->options.workMs)))
        return {};
    std::unique_lock lock(this->mutex);
    Server &server = this->servers[session.server];
    if (!this->isLive(session))
        return {};
    Result result{.digest = server.id + ':' + std::to_string(this->nextDigest++) + ':' + id};
    const bool commits = (writes && session.state == 'I') || (item.empty() && session.state == 'T');
    if (writes) {
        session.writes.emplace_back(item, rest);
    } else if (!commits) {
        const Position applied = this->appliedOf(server);
        std::string value = "-";
        for (const Entry &entry : server.log) {
            for (const auto &[name, data] : entry.writes)
                value = entry.position <= applied && name == item ? data : value;
        }
        result.rows.push_back(value);
    }
    if (!commits)
        return result;
    session.state = 'I';
    if (session.writes.empty())
        return result;
    if (!server.primary) {
        session.writes.clear();
        return Result{.error = "READONLY " + server.id};
    }
    if (!this->commit(lock, session, id))
        return {};
    return result;
}

bool DatabaseGroup::commit(std::unique_lock<std::mutex> &lock, Session &session, const std::string &id)
{
    Server &server = this->servers[session.server];
    const Position position{.term = server.term, .number = this->lastOf(server).number + 1};
    server.log.push_back(
        Entry{.position = position, .writes = std::exchange(session.writes, {}), .id = id, .receivedAt = Clock::now()});
    this->recorder.write(server.id, "commits " + id + " as " + std::to_string(position.term) + '.'
                                        + std::to_string(position.number));
    const auto isHeld = [&] {
        const auto holders = std::count_if(this->servers.begin(), this->servers.end(), [&](const Server &other) {
            return &other != &server && std::any_of(other.log.begin(), other.log.end(), [&](const Entry &entry) {
                return entry.position == position && entry.id == id;
            });
        });
        return static_cast<std::uint32_t>(holders) >= this->options.syncReplicas;
    };
    this->changed.wait(lock, [&] { return !this->isLive(session) || isHeld(); });
    return this->isLive(session);
}

} // namespace Review
