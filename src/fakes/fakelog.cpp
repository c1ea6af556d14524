#include "fakes/fakelog.h"

#include <algorithm>
#include <cassert>
#include <limits>
#include <span>
#include <string_view>
#include <utility>

namespace Jujubekeel {

FakeLog::FakeLog()
{
    this->terms.append({.term = 1, .start = 0});
}

LogPosition FakeLog::positionAt(std::uint64_t position) const
{
    LogPosition result{.term = 0, .position = position};
    for (const TermStart &start : this->terms.starts()) {
        if (start.start <= position)
            result.term = start.term;
    }
    return result;
}

void FakeLog::startTerm(std::uint64_t term)
{
    assert(this->appliedEnd == this->end());
    this->terms.append({.term = term, .start = this->end()});
}

LogPosition FakeLog::append(const std::string &key, const std::string &statements, const std::string &value)
{
    this->stored.push_back({.term = this->term(), .requestKey = key, .statements = statements, .value = value});
    if (!key.empty())
        this->keys.insert_or_assign(key, this->end());
    this->appliedEnd = this->end();
    return this->positionAt(this->end());
}

void FakeLog::receive(TimePoint now, const ReplicationAppend &append)
{
    this->adoptHistory(append.history);

    // Entries after a gap are ignored; the acknowledged position makes the primary resend from there.
    if (append.previous <= this->end()) {
        for (std::size_t index = this->end() - append.previous; index < append.entries.size(); ++index) {
            const Entry &entry = append.entries[index];
            this->stored.push_back(entry);
            this->receivedAt.push_back(now);
            if (!entry.requestKey.empty())
                this->keys.insert_or_assign(entry.requestKey, this->end());
        }
    }

    // Only terms that start within the stored log belong to its history.
    TermHistory reached;
    for (const TermStart &start : append.history.starts()) {
        if (start.start <= this->end())
            reached.append(start);
    }
    this->terms = std::move(reached);
}

void FakeLog::applyNext()
{
    assert(this->appliedEnd < this->end());
    for (const std::string_view statement : splitStatementLines(this->stored[this->appliedEnd].statements))
        runStatement(this->values, statement);
    ++this->appliedEnd;
    if (!this->receivedAt.empty())
        this->receivedAt.pop_front();
}

void FakeLog::applyAll()
{
    while (this->appliedEnd < this->end())
        this->applyNext();
}

void FakeLog::applyDue(TimePoint now, Duration lag)
{
    while (!this->receivedAt.empty() && this->receivedAt.front() + lag <= now)
        this->applyNext();
}

TimePoint FakeLog::nextApply(Duration lag) const
{
    return this->receivedAt.empty() ? TimePoint::max() : this->receivedAt.front() + lag;
}

std::optional<BackendAnswer> FakeLog::findOutcome(const std::string &key) const
{
    const auto known = this->keys.find(key);
    if (known == this->keys.end())
        return std::nullopt;
    const Entry &entry = this->stored.at(known->second - 1);
    return BackendAnswer{.value = entry.value, .position = {.term = entry.term, .position = known->second}};
}

std::optional<BackendAnswer> FakeLog::answerStoredKey(const std::string &key, const std::string &statements) const
{
    const auto known = key.empty() ? this->keys.end() : this->keys.find(key);
    if (known == this->keys.end())
        return std::nullopt;
    const Entry &entry = this->stored.at(known->second - 1);
    BackendAnswer answer{.value = entry.value, .position = {.term = entry.term, .position = known->second}};
    answer.code = BackendStatusCode::Duplicate;
    if (entry.statements != statements) {
        answer.code = BackendStatusCode::KeyReused;
        answer.value.clear();
        answer.text = "the request key belongs to another statement";
    }
    return answer;
}

void FakeLog::truncate(std::uint64_t position)
{
    if (position >= this->end())
        return;
    for (std::uint64_t index = position; index < this->end(); ++index) {
        const auto known = this->keys.find(this->stored[index].requestKey);
        if (known != this->keys.end() && known->second == index + 1)
            this->keys.erase(known);
    }
    this->stored.resize(position);

    // Applied entries cannot be undone one by one, so the data is rebuilt from the log.
    if (this->appliedEnd > position) {
        this->values.clear();
        this->appliedEnd = 0;
        this->receivedAt.clear();
        while (this->appliedEnd < position)
            this->applyNext();
    }
    this->receivedAt.resize(this->end() - this->appliedEnd);
}

void FakeLog::adoptHistory(const TermHistory &other)
{
    const std::span<const TermStart> own = this->terms.starts();
    const std::span<const TermStart> theirs = other.starts();
    const auto [ownNext, theirNext] = std::ranges::mismatch(own, theirs);

    // The logs are equal up to the start of the first term in which the histories differ; if both have such a term, up
    // to the earlier start.
    std::uint64_t shared = std::numeric_limits<std::uint64_t>::max();
    if (ownNext != own.end())
        shared = std::min(shared, ownNext->start);
    if (theirNext != theirs.end())
        shared = std::min(shared, theirNext->start);
    this->truncate(shared);
}

} // namespace Jujubekeel
