#include "backend.h"

#include "backendgroup.h"
#include "lineconnection.h"
#include "recordfile.h"

#include <asio/steady_timer.hpp>

#include <utility>

namespace Review {

Backend::Backend(asio::io_context &eventLoop, BackendGroup &backendGroup, RecordFile &recordFile, std::string backendId)
    : id(std::move(backendId)), loop(eventLoop), group(backendGroup), record(recordFile),
      acceptor(eventLoop, asio::ip::tcp::endpoint(asio::ip::address_v4::loopback(), 0)),
      listenAddress("127.0.0.1:" + std::to_string(this->acceptor.local_endpoint().port()))
{
    this->accept();
}

void Backend::crash()
{
    this->running = false;
    this->primary = false;
    this->acceptor.close();
    for (const ConnectionPointer &connection : this->connections)
        connection->lines->close();
    this->connections.clear();
    this->queue.clear();
}

void Backend::cutOff(bool cut)
{
    this->isCutOff = cut;
    for (const ConnectionPointer &connection : this->newcomers) {
        if (cut)
            connection->lines->cutOff();
        else
            connection->lines->close();
        if (!cut)
            this->connections.erase(connection);
    }
    this->newcomers.clear();
}

void Backend::accept()
{
    this->acceptor.async_accept([this](const asio::error_code &failure, asio::ip::tcp::socket socket) {
        if (failure)
            return;
        auto connection = std::make_shared<Connection>();
        connection->lines = std::make_shared<LineConnection>(std::move(socket));
        this->connections.insert(connection);
        this->newcomers.push_back(connection);
        if (this->isCutOff)
            connection->lines->cutOff();
        connection->lines->start({.line =
                                      [this, connection](std::string_view line) {
                                          connection->waiting.emplace_back(line);
                                          if (connection->waiting.size() == 1)
                                              this->next(connection);
                                      },
                                  .closed = [this, connection] { this->connections.erase(connection); }});
        this->accept();
    });
}

void Backend::next(const ConnectionPointer &connection)
{
    if (connection->waiting.empty() || !this->connections.contains(connection))
        return;
    const std::string line = connection->waiting.front();
    std::string_view rest = line;
    const std::string word = takeWord(rest);
    if (word == "CONNECT" && !connection->greeted) {
        this->greet(connection, rest);
    } else if (word == "QUERY" && connection->greeted) {
        const std::string statementId = takeWord(rest);
        this->run(connection, statementId, rest);
    } else {
        connection->lines->close();
        this->connections.erase(connection);
    }
}

void Backend::greet(const ConnectionPointer &connection, std::string_view rest)
{
    const std::string service = takeWord(rest);
    static_cast<void>(takeWord(rest));
    const bool expected = service == this->group.options().service && (rest.empty() || rest == this->id);
    if (!expected || this->connections.size() > this->group.options().maxConnections) {
        connection->lines->send(expected ? "ERROR OVERLOAD too many connections" : "ERROR MISROUTED " + this->id);
        asio::post(this->loop, [this, connection] {
            connection->lines->close();
            this->connections.erase(connection);
        });
        return;
    }
    this->startJob(this->group.options().handshake, [this, connection] {
        connection->greeted = true;
        this->ready(connection);
    });
}

void Backend::run(const ConnectionPointer &connection, const std::string &statementId, std::string_view text)
{
    std::string_view rest = text;
    std::string verb = takeWord(rest);
    std::optional<Position> after;
    if (verb == "AFTER") {
        after = toPosition(takeWord(rest));
        verb = takeWord(rest);
    }
    if (statementId != "-") {
        this->seen.insert(statementId);
        this->record.write(this->id, "gets " + statementId + ' ' + std::string(text));
    }
    const bool open = connection->state != 'I';
    // After an error the transaction can only be ended.
    if (connection->state == 'E' && verb != "ROLLBACK")
        verb.clear();
    if (verb == "BEGIN" && !open) {
        this->begin(connection, rest, after);
    } else if (verb == "ROLLBACK" && open) {
        connection->state = 'I';
        connection->writes.clear();
        this->answer(connection, "-");
    } else if (verb == "SET" || (verb == "RESET" && !open)) {
        if (verb == "RESET")
            connection->prepared.clear();
        this->answer(connection, "-");
    } else if (verb == "PREPARE") {
        const std::string name = takeWord(rest);
        std::string_view shape = rest;
        const std::string mode = takeWord(shape);
        if (name.empty() || shape.empty() || (mode != "READ" && mode != "WRITE")) {
            this->record.write(this->id, "refuses as malformed: " + std::string(text));
            this->refuse(connection, "MALFORMED");
            return;
        }
        connection->prepared[name] = std::string(rest);
        this->answer(connection, "-");
    } else if (verb == "STATUS") {
        const std::size_t taken = this->busy;
        const bool accepted = this->occupy(Milliseconds(1), [this, connection, taken] {
            this->answer(connection, "-",
                         {std::string(this->primary ? "primary " : "replica ") + std::to_string(this->term) + ' '
                          + toText(this->receivedPosition()) + " 0 "
                          + std::to_string(this->group.options().applyLag.count()) + ' ' + std::to_string(taken) + ' '
                          + std::to_string(this->connections.size())});
        });
        if (!accepted)
            this->refuse(connection, "BUSY");
    } else if (verb == "READ" || verb == "WRITE") {
        this->access(connection, statementId, verb + " - " + std::string(rest), after);
    } else if (verb == "EXECUTE") {
        const auto known = connection->prepared.find(takeWord(rest));
        if (known == connection->prepared.end())
            this->refuse(connection, "UNKNOWN");
        else
            this->access(connection, statementId, known->second + " | " + std::string(rest), after);
    } else if (verb == "COMMIT" && open) {
        this->commit(connection, statementId);
    } else {
        this->refuse(connection, "MALFORMED");
    }
}

void Backend::begin(const ConnectionPointer &connection, std::string_view rest, std::optional<Position> after)
{
    if (rest.empty() && !this->primary) {
        this->refuse(connection, "READONLY");
    } else if (after && this->appliedPosition() < *after) {
        this->refuse(connection, "LAGGING");
    } else {
        connection->state = 'T';
        connection->readOnly = !rest.empty();
        connection->writes.clear();
        this->answer(connection, "-");
    }
}

void Backend::access(const ConnectionPointer &connection, const std::string &statementId, const std::string &access,
                     std::optional<Position> after)
{
    const bool writes = access.starts_with("WRITE");
    const bool plainTransaction = connection->state == 'T' && !connection->readOnly;
    if ((writes || plainTransaction) && !this->primary) {
        this->refuse(connection, "READONLY");
        return;
    }
    if (after && this->appliedPosition() < *after) {
        this->refuse(connection, "LAGGING");
        return;
    }
    const BackendOptions &options = this->group.options();
    const auto finish = [this, connection, statementId, access, writes] {
        this->record.write(this->id, "runs " + statementId + ": " + access);
        if (!writes) {
            this->answer(connection, this->id + '.' + statementId, {"value-of-" + statementId});
        } else if (connection->state == 'T') {
            connection->writes.push_back(access);
            this->answer(connection, this->id + '.' + statementId);
        } else {
            this->finishCommit(connection, statementId, {access});
        }
    };
    const Milliseconds readWork = access.starts_with("READ - l") ? options.lookupWork : options.readWork;
    if (!this->occupy(writes ? options.writeWork : readWork, finish))
        this->refuse(connection, "BUSY");
}

void Backend::commit(const ConnectionPointer &connection, const std::string &statementId)
{
    if (!connection->writes.empty() && !this->primary) {
        this->refuse(connection, "READONLY");
        return;
    }
    const auto finish = [this, connection, statementId] {
        connection->state = 'I';
        this->finishCommit(connection, statementId, std::exchange(connection->writes, {}));
    };
    if (!this->occupy(this->group.options().writeWork, finish))
        this->refuse(connection, "BUSY");
}

void Backend::finishCommit(const ConnectionPointer &connection, const std::string &statementId,
                           std::vector<std::string> writes)
{
    const auto acknowledge = [this, connection, statementId] {
        this->answer(connection, this->id + '.' + statementId);
    };
    if (writes.empty())
        acknowledge();
    else if (!this->primary)
        this->refuse(connection, "READONLY");
    else
        this->group.commit(*this, statementId, std::move(writes), acknowledge);
}

bool Backend::occupy(Milliseconds work, std::function<void()> done)
{
    if (this->busy >= this->group.options().slots && this->queue.size() >= this->group.options().queue)
        return false;
    this->startJob(work, std::move(done));
    return true;
}

void Backend::startJob(Milliseconds work, std::function<void()> done)
{
    auto job = [this, work, finished = std::move(done)] {
        this->busy += 1;
        auto timer = std::make_shared<asio::steady_timer>(this->loop, work);
        timer->async_wait([this, timer, finished](const asio::error_code &) {
            this->busy -= 1;
            if (!this->running)
                return;
            finished();
            if (this->busy < this->group.options().slots && !this->queue.empty()) {
                const auto following = std::move(this->queue.front());
                this->queue.pop_front();
                following();
            }
        });
    };
    if (this->busy < this->group.options().slots)
        job();
    else
        this->queue.emplace_back(std::move(job));
}

void Backend::answer(const ConnectionPointer &connection, std::string_view digest, const std::vector<std::string> &rows)
{
    for (const std::string &row : rows)
        connection->lines->send("ROW " + row);
    connection->lines->send("DONE " + std::string(digest));
    this->ready(connection);
}

void Backend::refuse(const ConnectionPointer &connection, std::string_view code)
{
    if (connection->state == 'T')
        connection->state = 'E';
    connection->lines->send("ERROR " + std::string(code) + ' ' + this->id);
    this->ready(connection);
}

void Backend::ready(const ConnectionPointer &connection)
{
    connection->lines->send(std::string("READY ") + connection->state + ' ' + toText(this->appliedPosition()));
    connection->waiting.pop_front();
    this->next(connection);
}

Position Backend::appliedPosition() const
{
    return this->applied == 0 ? Position{.term = 1, .number = 0} : this->log[this->applied - 1].position;
}

Position Backend::receivedPosition() const
{
    return this->log.empty() ? Position{.term = 1, .number = 0} : this->log.back().position;
}

} // namespace Review
