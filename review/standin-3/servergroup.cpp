#include "servergroup.h"

#include "stream.h"

#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <optional>

namespace Review {

namespace {

constexpr std::size_t firstPort = 7100;

std::string_view takeWord(std::string_view &rest)
{
    const std::size_t blank = rest.find(' ');
    const std::string_view word = rest.substr(0, blank);
    rest = blank == std::string_view::npos ? std::string_view{} : rest.substr(blank + 1);
    return word;
}

std::string digestOf(std::string_view server, std::string_view statement)
{
    return std::string(server) + '.' + std::string(statement);
}

} // namespace

ServerGroup::ServerGroup(Options groupOptions, Recorder recordEvent)
    : options(std::move(groupOptions)), record(std::move(recordEvent)), servers(this->options.hosts.size())
{
    for (Server &server : this->servers) {
        server.bornAt = nowMs();
        server.paths.resize(this->options.paths);
    }
    this->servers.front().primary = true;
}

void ServerGroup::start()
{
    std::thread([this] { this->runDelayed(); }).detach();
    const std::scoped_lock lock(this->mutex);
    for (std::size_t index = 0; index < this->servers.size(); ++index) {
        for (std::size_t path = 0; path < this->options.paths; ++path)
            this->openPath(index, path);
    }
}

std::string ServerGroup::address(std::size_t server, std::size_t path) const
{
    return this->options.hosts[server] + ':' + std::to_string(firstPort + path);
}

std::string ServerGroup::id(std::size_t server) const
{
    return "i-" + std::to_string(server + 1) + "a91c2";
}

bool ServerGroup::isReporting(std::size_t server)
{
    const std::scoped_lock lock(this->mutex);
    return this->servers[server].running && !this->servers[server].storeCut;
}

bool ServerGroup::isPrimary(std::size_t server)
{
    const std::scoped_lock lock(this->mutex);
    return this->servers[server].primary;
}

std::int64_t ServerGroup::bornMs(std::size_t server)
{
    const std::scoped_lock lock(this->mutex);
    return this->servers[server].bornAt;
}

void ServerGroup::setSyncReplicas(std::uint32_t count)
{
    const std::scoped_lock lock(this->mutex);
    this->syncReplicas = count;
}

void ServerGroup::later(std::int64_t delayMs, std::function<void()> action)
{
    this->delayed.push(Delayed{.due = nowMs() + delayMs, .action = std::move(action)});
}

void ServerGroup::runDelayed()
{
    while (true) {
        {
            const std::scoped_lock lock(this->mutex);
            while (!this->delayed.empty() && this->delayed.top().due <= nowMs()) {
                const auto action = this->delayed.top().action;
                this->delayed.pop();
                action();
            }
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
}

void ServerGroup::openPath(std::size_t index, std::size_t path)
{
    const int listener = Stream::listenAt(this->address(index, path));
    this->servers[index].paths[path].listener = listener;
    std::thread([this, index, path, listener] { this->accept(index, path, listener); }).detach();
}

void ServerGroup::closePath(std::size_t index, std::size_t path)
{
    // Ends the accept; later connections are refused.
    Path &closed = this->servers[index].paths[path];
    ::shutdown(closed.listener, SHUT_RDWR);
    for (const auto &known : closed.connections) {
        if (const auto stream = known.lock())
            stream->shutDown();
    }
    closed.connections.clear();
}

void ServerGroup::accept(std::size_t index, std::size_t path, int listener)
{
    while (true) {
        const int accepted = ::accept(listener, nullptr, nullptr);
        if (accepted < 0)
            break;
        auto stream = std::make_shared<Stream>(accepted);
        const std::scoped_lock lock(this->mutex);
        Path &used = this->servers[index].paths[path];
        if (!this->servers[index].running || used.cut)
            break;
        std::erase_if(used.connections, [](const auto &known) { return known.expired(); });
        used.connections.push_back(stream);
        std::thread([this, index, stream] { this->serve(index, stream); }).detach();
    }
    ::close(listener);
}

void ServerGroup::serve(std::size_t index, const std::shared_ptr<Stream> &stream)
{
    Session session;
    bool greeted = false;
    while (const auto line = stream->readLine()) {
        std::unique_lock lock(this->mutex);
        if (!this->servers[index].running)
            break;
        std::string_view rest = *line;
        const std::string_view verb = takeWord(rest);
        std::string reply;
        if (verb == "CONNECT") {
            const std::string_view service = takeWord(rest);
            session.name = std::string(takeWord(rest));
            greeted = service == this->options.service && (rest.empty() || rest == this->id(index));
            reply = greeted ? "READY I " + this->position(index, this->appliedCount(index)) + "\r\n"
                            : "ERROR MISROUTED " + this->id(index) + "\r\n";
        } else if (verb == "QUERY" && greeted) {
            const std::string_view statement = takeWord(rest);
            reply = this->answer(index, session, statement, rest, lock);
        }
        const bool ends = reply.empty() || !greeted;
        const bool runs = this->servers[index].running;
        lock.unlock();
        if (!runs || !stream->write(reply) || ends)
            break;
    }
    stream->shutDown();
}

std::string ServerGroup::error(std::size_t server, Session &session, const std::string &code)
{
    session.state = session.state == 'I' ? 'I' : 'E';
    return "ERROR " + code + ' ' + this->id(server) + "\r\nREADY " + session.state + ' '
           + this->position(server, this->appliedCount(server)) + "\r\n";
}

std::string ServerGroup::success(std::size_t server, Session &session, std::string_view id, const std::string &rows)
{
    return rows + "DONE " + (id.empty() ? "-" : digestOf(this->id(server), id)) + "\r\nREADY " + session.state + ' '
           + this->position(server, this->appliedCount(server)) + "\r\n";
}

std::string ServerGroup::answer(std::size_t index, Session &session, std::string_view id, std::string_view text,
                                std::unique_lock<std::mutex> &lock)
{
    Server &server = this->servers[index];
    std::string_view rest = text;
    std::string_view verb = takeWord(rest);
    std::string_view after;
    if (verb == "AFTER") {
        after = takeWord(rest);
        text = rest;
        verb = takeWord(rest);
    }
    if (verb == "ROLLBACK") {
        session.state = 'I';
        session.writes.clear();
        return this->success(index, session, {}, {});
    }
    if (session.state == 'E' && verb != "COMMIT")
        return this->error(index, session, "MALFORMED");
    if (verb == "STATUS")
        return this->success(index, session, {}, "ROW " + this->status(index) + "\r\n");
    if (verb == "RESET") {
        session.prepared.clear();
        return this->success(index, session, {}, {});
    }
    if (verb == "SET")
        return this->success(index, session, {}, {});
    if (verb == "PREPARE") {
        const std::string name(takeWord(rest));
        const bool writes = takeWord(rest) == "WRITE";
        session.prepared.insert_or_assign(name, std::pair(writes, std::string(rest)));
        return this->success(index, session, {}, {});
    }
    if (verb == "STEPDOWN") {
        server.primary = false;
        return this->success(index, session, {}, "ROW " + this->status(index) + "\r\n");
    }
    if (!after.empty() && !this->holds(index, after))
        return this->error(index, session, "LAGGING");
    if (verb == "BEGIN") {
        session.readOnly = rest == "READ";
        if (!session.readOnly && !server.primary)
            return this->error(index, session, "READONLY");
        session.state = 'T';
        return this->success(index, session, {}, {});
    }
    return this->run(index, session, id, text, lock);
}

std::string ServerGroup::run(std::size_t index, Session &session, std::string_view id, std::string_view text,
                             std::unique_lock<std::mutex> &lock)
{
    lock.unlock();
    std::this_thread::sleep_for(std::chrono::milliseconds(this->options.workMs));
    lock.lock();
    Server &server = this->servers[index];
    if (!server.running)
        return {};
    std::string_view rest = text;
    std::string_view verb = takeWord(rest);
    if (verb == "EXECUTE") {
        const auto found = session.prepared.find(std::string(takeWord(rest)));
        if (found == session.prepared.end())
            return this->error(index, session, "UNKNOWN");
        verb = found->second.first ? "WRITE" : "READ";
    }
    const bool inTransaction = session.state == 'T';
    if (verb == "COMMIT") {
        const bool failed = session.state == 'E';
        session.state = 'I';
        if (failed)
            return this->error(index, session, "ABORTED");
        if (session.writes.empty()) {
            this->record("ran", this->id(index) + ' ' + session.name + ' ' + std::string(id));
            return this->success(index, session, id, {});
        }
        return this->commit(index, session, id, std::move(session.writes), lock);
    }
    const bool needsLead = verb == "WRITE" || (inTransaction && !session.readOnly);
    if (needsLead && !server.primary)
        return this->error(index, session, "READONLY");
    const std::string item(takeWord(rest));
    if (verb == "READ") {
        this->record("ran", this->id(index) + ' ' + session.name + ' ' + std::string(id));
        const std::size_t applied = this->appliedCount(index);
        std::string value = "-";
        for (std::size_t entry = 0; entry < applied; ++entry) {
            for (const auto &[name, data] : server.log[entry].writes)
                value = name == item ? data : value;
        }
        return this->success(index, session, id, "ROW " + value + "\r\n");
    }
    if (verb != "WRITE")
        return this->error(index, session, "MALFORMED");
    if (inTransaction) {
        this->record("ran", this->id(index) + ' ' + session.name + ' ' + std::string(id));
        session.writes.emplace_back(item, std::string(rest));
        return this->success(index, session, id, {});
    }
    return this->commit(index, session, id, {{item, std::string(rest)}}, lock);
}

std::string ServerGroup::commit(std::size_t index, Session &session, std::string_view id,
                                std::vector<std::pair<std::string, std::string>> writes,
                                std::unique_lock<std::mutex> &lock)
{
    Server &server = this->servers[index];
    session.writes.clear();
    if (!server.primary)
        return this->error(index, session, "READONLY");
    this->record("ran", this->id(index) + ' ' + session.name + ' ' + std::string(id));
    server.log.push_back(
        Entry{.term = server.term, .receivedAt = nowMs(), .statement = std::string(id), .writes = std::move(writes)});
    const std::size_t count = server.log.size();
    const std::string reached = this->position(index, count);
    for (std::size_t other = 0; other < this->servers.size(); ++other) {
        if (other == index)
            continue;
        this->later(this->options.shippingMs, [this, index, other, entries = server.log, term = server.term] {
            this->receive(index, other, entries, term);
        });
    }
    const auto isHeld = [&] {
        std::uint32_t holders = 0;
        for (std::size_t other = 0; other < this->servers.size(); ++other)
            holders += other != index && this->holds(other, reached) ? 1 : 0;
        return holders >= this->syncReplicas || !server.running || server.log.size() < count;
    };
    this->changed.wait(lock, isHeld);
    if (!server.running || server.log.size() < count)
        return {};
    return this->success(index, session, id, {});
}

std::string ServerGroup::status(std::size_t index)
{
    const Server &server = this->servers[index];
    return std::string(server.primary ? "primary " : "replica ") + std::to_string(server.term) + ' '
           + this->position(index, server.log.size()) + ' ' + std::to_string(server.heldTerm) + " 0 0 1";
}

std::size_t ServerGroup::appliedCount(std::size_t index) const
{
    const Server &server = this->servers[index];
    std::size_t count = server.log.size();
    while (!server.primary && count > 0 && server.log[count - 1].receivedAt + this->options.applyLagMs > nowMs())
        count -= 1;
    return count;
}

std::string ServerGroup::position(std::size_t index, std::size_t count) const
{
    const auto &log = this->servers[index].log;
    return std::to_string(count == 0 ? 1 : log[count - 1].term) + '.' + std::to_string(count);
}

bool ServerGroup::holds(std::size_t index, std::string_view wanted) const
{
    const std::size_t point = wanted.find('.');
    const std::uint64_t term = std::stoull(std::string(wanted.substr(0, point)));
    const std::size_t number = std::stoull(std::string(wanted.substr(point + 1)));
    const auto &log = this->servers[index].log;
    return number == 0 || (number <= log.size() && log[number - 1].term == term);
}

void ServerGroup::receive(std::size_t from, std::size_t to, const std::vector<Entry> &entries, std::uint64_t term)
{
    Server &target = this->servers[to];
    if (!target.running || target.deaf || target.primary || target.term > term || !this->reach(from, to))
        return;
    target.term = term;
    // Entries that the primary does not have are rolled back.
    std::size_t common = 0;
    while (common < entries.size() && common < target.log.size()
           && entries[common].statement == target.log[common].statement
           && entries[common].term == target.log[common].term)
        common += 1;
    if (common == entries.size())
        return;
    target.log.resize(common);
    for (std::size_t entry = common; entry < entries.size(); ++entry) {
        target.log.push_back(entries[entry]);
        target.log.back().receivedAt = nowMs();
    }
    this->changed.notify_all();
}

bool ServerGroup::reach(std::size_t one, std::size_t other) const
{
    return one != other && !this->servers[one].isolated && !this->servers[other].isolated;
}

void ServerGroup::follow(std::size_t index, std::size_t leader)
{
    Server &server = this->servers[index];
    const Server &primary = this->servers[leader];
    if (!this->reach(index, leader) || !server.running || !primary.running || !primary.primary || server.deaf
        || server.term > primary.term || (server.primary && server.term == primary.term))
        return;
    server.primary = false;
    std::size_t common = 0;
    while (common < primary.log.size() && common < server.log.size()
           && primary.log[common].statement == server.log[common].statement)
        common += 1;
    server.log.resize(common);
    this->receive(leader, index, primary.log, primary.term);
    server.term = primary.term;
    this->changed.notify_all();
}

bool ServerGroup::promote(const std::string &wanted)
{
    const std::scoped_lock lock(this->mutex);
    for (std::size_t index = 0; index < this->servers.size(); ++index) {
        if (this->id(index) != wanted)
            continue;
        const Server &server = this->servers[index];
        if (!server.running)
            return false;
        const bool leads = server.primary
                           && std::none_of(this->servers.begin(), this->servers.end(),
                                           [&](const Server &other) { return other.term > server.term; });
        if (!leads)
            this->later(this->options.promotionMs, [this, index] { this->completePromotion(index); });
        return true;
    }
    return false;
}

void ServerGroup::completePromotion(std::size_t index)
{
    Server &server = this->servers[index];
    if (!server.running)
        return;
    for (const Server &other : this->servers)
        server.term = std::max(server.term, other.term);
    server.term += 1;
    server.primary = true;
    server.heldTerm = 0;
    std::string ids;
    for (const Entry &entry : server.log)
        ids += ' ' + entry.statement;
    this->record("promoted", this->id(index) + ' ' + std::to_string(server.term) + ids);
    for (std::size_t other = 0; other < this->servers.size(); ++other) {
        if (other != index)
            this->later(this->servers[other].primary ? 1000 : 0, [this, other, index] { this->follow(other, index); });
    }
    this->changed.notify_all();
}

void ServerGroup::setRunning(std::size_t index, bool running)
{
    const std::scoped_lock lock(this->mutex);
    Server &server = this->servers[index];
    if (server.running == running)
        return;
    server.running = running;
    if (running)
        server.bornAt = nowMs();
    for (std::size_t path = 0; path < this->options.paths; ++path) {
        if (!running)
            this->closePath(index, path);
        else if (!server.paths[path].cut)
            this->openPath(index, path);
    }
    for (std::size_t leader = 0; leader < this->servers.size() && running; ++leader)
        this->follow(index, leader);
    this->changed.notify_all();
}

void ServerGroup::setStoreCut(std::size_t index, bool cut)
{
    const std::scoped_lock lock(this->mutex);
    this->servers[index].storeCut = cut;
}

void ServerGroup::setPathCut(std::size_t index, std::size_t path, bool cut)
{
    const std::scoped_lock lock(this->mutex);
    bool &isCut = this->servers[index].paths.at(path).cut;
    if (isCut == cut)
        return;
    isCut = cut;
    if (cut)
        this->closePath(index, path);
    else if (this->servers[index].running)
        this->openPath(index, path);
}

void ServerGroup::setDeaf(std::size_t index, bool deaf)
{
    const std::scoped_lock lock(this->mutex);
    this->servers[index].deaf = deaf;
    for (std::size_t leader = 0; leader < this->servers.size() && !deaf; ++leader)
        this->follow(index, leader);
    this->changed.notify_all();
}

void ServerGroup::setIsolated(std::size_t index, bool isolated)
{
    const std::scoped_lock lock(this->mutex);
    this->servers[index].isolated = isolated;
    for (std::size_t other = 0; other < this->servers.size() && !isolated; ++other) {
        this->follow(other, index);
        // A former primary goes on for a second after it can reach the new one.
        this->later(this->servers[index].primary ? 1000 : 0, [this, index, other] { this->follow(index, other); });
    }
}

} // namespace Review
