#pragma once

#include "virtualfleet/history.h"

#include <string>
#include <utility>

namespace Jujubekeel {

/// Builds small histories for tests of HistoryChecker: one database `db` with the server `s1` and those that are added.
/// Times are in milliseconds.
class HistoryBuilder final
{
public:
    HistoryBuilder()
    {
        this->history.endedAt = std::chrono::seconds(100);
        this->server("s1");
    }

    /// Adds a server and returns it for changes; the reference is valid until the next one is added.
    HistoryBackend &server(const std::string &name)
    {
        HistoryBackend backend;
        backend.name = name;
        backend.database = "db";
        backend.slots = 3;
        backend.connectionLimit = 20;
        this->history.backends.push_back(std::move(backend));
        return this->history.backends.back();
    }

    /// Adds an entry to the log of the first server.
    HistoryBuilder &entry(std::uint64_t term, const std::string &statements)
    {
        ReplicationAppend::Entry added;
        added.term = term;
        added.statements = statements;
        this->history.backends.front().log.push_back(std::move(added));
        return *this;
    }

    /// Adds an answered request and returns it for changes; the reference is valid until the next one is added.
    HistoryRequest &request(RequestKind kind, const std::string &statement, int sentAt, int endedAt,
                            ResultCode code = ResultCode::Ok, const std::string &value = {})
    {
        HistoryRequest added;
        added.request.ticket = this->history.requests.size() + 1;
        added.request.id = "r" + std::to_string(added.request.ticket);
        added.request.database = "db";
        added.request.kind = kind;
        added.request.statement = statement;
        added.work = added.request.ticket;
        added.keepsSession = true;
        added.sentAt = std::chrono::milliseconds(sentAt);
        added.endedAt = std::chrono::milliseconds(endedAt);
        added.outcome = CallerOutcome::Answered;
        CallerAnswer answer;
        answer.ticket = added.request.ticket;
        answer.id = added.request.id;
        answer.code = code;
        answer.value = value;
        added.answers.push_back(std::move(answer));
        this->history.requests.push_back(std::move(added));
        return this->history.requests.back();
    }

    History history;
};

} // namespace Jujubekeel
