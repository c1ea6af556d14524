#include "virtualfleet/historychecker.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <sstream>
#include <tuple>
#include <utility>

namespace Jujubekeel {

namespace {

// Target of P7: time after which a leaving server must get no new work.
constexpr Duration leavingLimit = std::chrono::seconds(5);
// Target of P9: time after which every connected proxy must use an accepted rules version.
constexpr Duration rulesLimit = std::chrono::seconds(8);

const CallerAnswer *answerOf(const HistoryRequest &request)
{
    return request.answers.empty() ? nullptr : &request.answers.front();
}

bool isAcknowledged(const HistoryRequest &request)
{
    const CallerAnswer *answer = answerOf(request);
    return answer != nullptr && answer->code == ResultCode::Ok;
}

/// Values in a text, separated by any characters that cannot be part of a value.
std::set<std::string> valuesOf(std::string_view text)
{
    std::set<std::string> values;
    std::string word;
    for (const char character : text) {
        if (std::isalnum(static_cast<unsigned char>(character)) != 0 || character == '.' || character == '-') {
            word += character;
        } else if (!word.empty()) {
            values.insert(std::move(word));
            word.clear();
        }
    }
    if (!word.empty())
        values.insert(std::move(word));
    return values;
}

/// Whether the log of \a left is superseded by that of \a right.
bool isOlder(const HistoryBackend &left, const HistoryBackend &right)
{
    const std::uint64_t leftTerm = left.log.empty() ? 0 : left.log.back().term;
    const std::uint64_t rightTerm = right.log.empty() ? 0 : right.log.back().term;
    return std::tuple(left.status.history.lastTerm(), leftTerm, left.log.size())
           < std::tuple(right.status.history.lastTerm(), rightTerm, right.log.size());
}

/// Values that a log entry appends.
std::vector<std::string> entryValues(const ReplicationAppend::Entry &entry)
{
    std::vector<std::string> values;
    std::istringstream lines(entry.statements);
    for (std::string line; std::getline(lines, line);) {
        std::string value = appendedValue(line).second;
        if (!value.empty())
            values.push_back(std::move(value));
    }
    return values;
}

} // namespace

std::pair<std::string, std::string> appendedValue(std::string_view statement)
{
    std::istringstream words{std::string(statement)};
    std::string verb;
    std::string key;
    std::string value;
    if (words >> verb >> key >> value && verb == "append")
        return {key, value};
    return {};
}

std::string readKey(std::string_view statement)
{
    std::istringstream words{std::string(statement)};
    std::string verb;
    std::string key;
    if (words >> verb >> key && verb == "get")
        return key;
    return {};
}

std::string_view guaranteeName(Guarantee guarantee)
{
    constexpr std::array<std::string_view, 12> names{"",
                                                     "P1 own writes read",
                                                     "P2 acknowledged writes survive",
                                                     "P3 transactions not mixed",
                                                     "P4 own answer, once",
                                                     "P5 not run did not run",
                                                     "P6 no repeat",
                                                     "P7 leaving server gets no work",
                                                     "P8 planned stop is graceful",
                                                     "P9 rules in force",
                                                     "limits kept",
                                                     "accepted age kept"};
    return names.at(static_cast<std::size_t>(guarantee));
}

HistoryChecker::HistoryChecker(const History &runHistory) : history(runHistory)
{
}

std::vector<Violation> HistoryChecker::check()
{
    this->violations.clear();
    this->statistics = WriteStatistics{};
    this->readLogs();
    this->collectAcknowledged();
    this->checkReads();
    this->checkAcknowledged();
    this->checkTransactions();
    this->checkAnswers();
    this->checkNotRun();
    this->checkRepeats();
    this->checkLeaving();
    this->checkStops();
    this->checkRules();
    this->checkLimits();
    return std::move(this->violations);
}

void HistoryChecker::report(Guarantee guarantee, TimePoint at, std::uint64_t ticket, std::string reason)
{
    this->violations.push_back(
        Violation{.guarantee = guarantee, .at = at, .ticket = ticket, .reason = std::move(reason)});
}

void HistoryChecker::readLogs()
{
    // The surviving log of a group is the longest log of the newest term.
    std::map<std::string, const HistoryBackend *> newest;
    for (const HistoryBackend &backend : this->history.backends) {
        const HistoryBackend *&best = newest[backend.database];
        if (best == nullptr || isOlder(*best, backend))
            best = &backend;
    }
    this->surviving.clear();
    for (const auto &[database, backend] : newest) {
        for (std::size_t index = 0; index < backend->log.size(); ++index) {
            for (const std::string &value : entryValues(backend->log[index])) {
                Occurrence &occurrence = this->surviving[{database, value}];
                occurrence.count += 1;
                if (occurrence.count == 1) {
                    occurrence.position = index + 1;
                    occurrence.term = backend->log[index].term;
                }
            }
        }
    }
}

void HistoryChecker::collectAcknowledged()
{
    this->requestsByWork.clear();
    this->acknowledged.clear();
    for (const HistoryRequest &request : this->history.requests)
        this->requestsByWork[request.work].push_back(&request);

    // A write outside a transaction is acknowledged by its own answer, a write inside by the answer to Commit.
    for (const HistoryRequest &request : this->history.requests) {
        if (!isAcknowledged(request))
            continue;
        if (request.request.kind == RequestKind::Write && request.request.transaction.empty()) {
            const auto [key, value] = appendedValue(request.request.statement);
            this->acknowledged[{request.request.database, key}].push_back(
                {.at = request.endedAt, .session = request.session, .value = value});
        } else if (request.request.kind == RequestKind::Commit) {
            for (const HistoryRequest *part : this->requestsByWork[request.work]) {
                const auto [key, value] = appendedValue(part->request.statement);
                if (isAcknowledged(*part) && !value.empty())
                    this->acknowledged[{request.request.database, key}].push_back(
                        {.at = request.endedAt, .session = request.session, .value = value});
            }
        }
    }
}

void HistoryChecker::checkReads()
{
    for (const HistoryRequest &request : this->history.requests) {
        const std::string key = readKey(request.request.statement);
        if (!isAcknowledged(request) || key.empty())
            continue;
        const std::set<std::string> seen = valuesOf(request.answers.front().value);

        // The answer must contain only values of the requested list: each value starts with its key.
        for (const std::string &value : seen) {
            const bool isOwn = value.starts_with(key) && value.substr(key.size()).starts_with(".");
            if (!isOwn)
                this->report(Guarantee::OwnAnswerOnce, request.endedAt, request.request.ticket,
                             "the read of " + key + " contains the value " + value + " of another list");
        }

        // Reads inside a transaction are checked only for the session's own writes; their age is checked by the commit.
        const auto list = this->acknowledged.find({request.request.database, key});
        if (list == this->acknowledged.end())
            continue;
        for (const Acknowledged &write : list->second) {
            if (seen.contains(write.value))
                continue;
            if (request.keepsSession && write.session == request.session && write.at <= request.sentAt) {
                this->report(Guarantee::OwnWritesRead, request.endedAt, request.request.ticket,
                             "the session's own value " + write.value + " is missing");
            } else if (request.request.transaction.empty()
                       && write.at + std::max(request.acceptedAge, Duration{0}) < request.sentAt) {
                this->report(Guarantee::AcceptedAgeKept, request.endedAt, request.request.ticket,
                             "the value " + write.value + " is missing although it was acknowledged "
                                 + std::to_string((request.sentAt - write.at).count()) + " us before the read");
            }
        }
    }
}

const HistoryChecker::Occurrence *HistoryChecker::findValue(const std::string &database, const std::string &value) const
{
    const auto found = this->surviving.find({database, value});
    return found == this->surviving.end() ? nullptr : &found->second;
}

void HistoryChecker::checkAcknowledged()
{
    for (const auto &[list, writes] : this->acknowledged) {
        std::set<std::string> counted;
        for (const Acknowledged &write : writes) {
            if (!counted.insert(write.value).second)
                continue; // a retried request
            this->statistics.acknowledged += 1;
            if (this->findValue(list.first, write.value) == nullptr) {
                this->statistics.lost += 1;
                this->report(Guarantee::AcknowledgedWritesSurvive, write.at, 0,
                             "the acknowledged value " + write.value + " is not in the surviving log of " + list.first);
            }
        }
    }

    // The acknowledged position must be the term and position of the surviving entry.
    for (const HistoryRequest &request : this->history.requests) {
        const std::string value = appendedValue(request.request.statement).second;
        if (!isAcknowledged(request) || value.empty() || !request.request.transaction.empty())
            continue;
        const Occurrence *found = this->findValue(request.request.database, value);
        const LogPosition position = request.answers.front().position;
        if (found != nullptr && position.position != 0
            && position != LogPosition{.term = found->term, .position = found->position}) {
            this->report(Guarantee::AcknowledgedWritesSurvive, request.endedAt, request.request.ticket,
                         "acknowledged at " + std::to_string(position.term) + "/" + std::to_string(position.position)
                             + ", the surviving entry is at " + std::to_string(found->term) + "/"
                             + std::to_string(found->position));
        }
    }
}

void HistoryChecker::checkTransactions()
{
    for (const HistoryBackend &backend : this->history.backends) {
        if (backend.transactionMismatches > 0)
            this->report(Guarantee::TransactionsNotMixed, this->history.endedAt, 0,
                         backend.name + " got " + std::to_string(backend.transactionMismatches)
                             + " statements on connections with another open transaction");
    }

    std::map<std::string, const HistoryRequest *> senders; ///< by value
    for (const HistoryRequest &request : this->history.requests) {
        const std::string value = appendedValue(request.request.statement).second;
        if (!value.empty())
            senders.emplace(value, &request);
    }

    // All values of one entry come from one request or one transaction, and a transaction is complete.
    for (const HistoryBackend &backend : this->history.backends) {
        for (const ReplicationAppend::Entry &entry : backend.log) {
            const std::vector<std::string> values = entryValues(entry);
            std::set<std::uint64_t> senderWorks;
            for (const std::string &value : values) {
                const auto sender = senders.find(value);
                if (sender != senders.end())
                    senderWorks.insert(sender->second->work);
                else
                    this->report(Guarantee::TransactionsNotMixed, this->history.endedAt, 0,
                                 "no caller sent the value " + value + " in the log of " + backend.name);
            }
            if (senderWorks.size() > 1) {
                this->report(Guarantee::TransactionsNotMixed, this->history.endedAt, 0,
                             "one entry of " + backend.name
                                 + " holds statements of different transactions: " + entry.statements);
            } else if (senderWorks.size() == 1) {
                for (const HistoryRequest *part : this->requestsByWork[*senderWorks.begin()]) {
                    const std::string value = appendedValue(part->request.statement).second;
                    if (!value.empty() && isAcknowledged(*part) && std::ranges::find(values, value) == values.end())
                        this->report(Guarantee::TransactionsNotMixed, part->endedAt, part->request.ticket,
                                     "the transaction's value " + value + " is missing in its entry of "
                                         + backend.name);
                }
            }
        }
    }
}

bool HistoryChecker::hasOutage(const std::vector<HistoryOutage> &outages, std::uint32_t proxy, TimePoint from,
                               TimePoint to) const
{
    return std::ranges::any_of(outages, [&](const HistoryOutage &outage) {
        return outage.proxy == proxy && outage.from <= to && outage.to >= from;
    });
}

void HistoryChecker::checkAnswers()
{
    for (const HistoryRequest &request : this->history.requests) {
        const std::uint64_t ticket = request.request.ticket;
        if (request.answers.size() > 1)
            this->report(Guarantee::OwnAnswerOnce, request.endedAt, ticket,
                         std::to_string(request.answers.size()) + " answers to one request");
        for (const CallerAnswer &answer : request.answers) {
            if (answer.id != request.request.id)
                this->report(Guarantee::OwnAnswerOnce, request.endedAt, ticket,
                             "the answer names the request " + answer.id + " instead of " + request.request.id);
        }

        // Only a proxy that was down, paused or unreachable may leave a caller without an answer.
        const bool isMissing = request.outcome != CallerOutcome::Answered;
        const TimePoint end = request.outcome == CallerOutcome::Waiting ? this->history.endedAt : request.endedAt;
        if (isMissing && !this->hasOutage(this->history.outages, request.proxy, request.sentAt, end))
            this->report(Guarantee::OwnAnswerOnce, end, ticket, "no answer although the proxy was up");
    }
}

void HistoryChecker::checkNotRun()
{
    for (const auto &[work, requests] : this->requestsByWork) {
        // A transaction has no effect unless its Commit may have run, and a write none unless one of its attempts may.
        bool mayHaveRun = false;
        bool hasCommit = false;
        bool isTransaction = false;
        TimePoint endedAt{0};
        for (const HistoryRequest *request : requests) {
            const RequestKind kind = request->request.kind;
            isTransaction = isTransaction || kind == RequestKind::Begin || !request->request.transaction.empty();
            hasCommit = hasCommit || kind == RequestKind::Commit;
            endedAt = std::max(endedAt, request->endedAt);
        }
        for (const HistoryRequest *request : requests) {
            const RequestKind kind = request->request.kind;
            if (isTransaction ? kind != RequestKind::Commit : kind != RequestKind::Write)
                continue;
            const CallerAnswer *answer = answerOf(*request);
            if (answer == nullptr)
                mayHaveRun = mayHaveRun || request->outcome != CallerOutcome::ConnectRefused;
            else
                mayHaveRun = mayHaveRun || !isNotRun(answer->code);
        }
        if (mayHaveRun)
            continue;
        for (const HistoryRequest *request : requests) {
            const std::string value = appendedValue(request->request.statement).second;
            if (!value.empty() && this->findValue(request->request.database, value) != nullptr) {
                this->statistics.executedDespiteNotRun += 1;
                this->report(Guarantee::NotRunDidNotRun, endedAt, request->request.ticket,
                             "the value " + value + " is in the surviving log although "
                                 + (isTransaction && !hasCommit ? "its transaction was not committed"
                                                                : "its caller was told that it did not run"));
                break;
            }
        }
    }
}

void HistoryChecker::checkRepeats()
{
    std::set<std::string> reported;
    for (const HistoryRequest &request : this->history.requests) {
        const std::string value = appendedValue(request.request.statement).second;
        const Occurrence *found = value.empty() ? nullptr : this->findValue(request.request.database, value);
        if (found == nullptr || found->count < 2 || !reported.insert(value).second)
            continue;
        this->statistics.doubled += 1;
        this->report(Guarantee::NoRepeat, request.endedAt, request.request.ticket,
                     "the value " + value + " is " + std::to_string(found->count) + " times in the surviving log"
                         + (request.notRepeatable ? ", and a no-repeat rule covers it" : ""));
    }
}

void HistoryChecker::checkLeaving()
{
    for (std::size_t index = 0; index < this->history.ruleChanges.size(); ++index) {
        const HistoryRuleChange &change = this->history.ruleChanges[index];
        // If the answer to an update was lost, the next version may be in force before its operator reads it back.
        TimePoint replacedAt = this->history.endedAt;
        if (index + 1 < this->history.ruleChanges.size()) {
            const HistoryRuleChange &next = this->history.ruleChanges[index + 1];
            replacedAt = next.acceptedAt;
            for (const HistoryRuleUse &use : this->history.ruleUses) {
                if (use.version >= next.version)
                    replacedAt = std::min(replacedAt, use.seenAt);
            }
        }
        for (const HistoryBackend &backend : this->history.backends) {
            if (std::ranges::find(change.leaving, backend.name) == change.leaving.end())
                continue;
            std::uint64_t late = 0;
            TimePoint last{0};
            for (const TimePoint start : backend.workStarts) {
                if (start > change.acceptedAt + leavingLimit && start < replacedAt) {
                    late += 1;
                    last = start;
                }
            }
            if (late > 0)
                this->report(Guarantee::LeavingGetsNoWork, last, 0,
                             backend.name + " is leaving and got " + std::to_string(late) + " new statements, the last "
                                 + std::to_string((last - change.acceptedAt).count()) + " us after the rule");
        }
    }
}

void HistoryChecker::checkStops()
{
    for (const HistoryStop &stop : this->history.stops) {
        if (stop.stoppedAt == TimePoint{0})
            this->report(Guarantee::PlannedStopIsGraceful, this->history.endedAt, 0,
                         "proxy " + std::to_string(stop.proxy) + " did not end after the request to stop");
        const TimePoint end = stop.stoppedAt == TimePoint{0} ? this->history.endedAt : stop.stoppedAt;
        for (const HistoryRequest &request : this->history.requests) {
            const bool isInFlight = request.sentAt <= end && request.endedAt >= stop.requestedAt;
            const bool isAtProxy = request.proxy == stop.proxy;
            if (!isInFlight || (!isAtProxy && stop.otherFaults))
                continue;
            const CallerAnswer *answer = answerOf(request);
            // Requests sent after the stop was requested may be refused; earlier ones must be answered. A time-out at a
            // proxy that was paused during the request is not caused by the stop.
            if (answer == nullptr) {
                const bool wasOut = std::ranges::any_of(this->history.outages, [&](const HistoryOutage &outage) {
                    return outage.proxy == request.proxy && outage.from < end && outage.to >= request.sentAt;
                });
                const bool isCut = request.outcome == CallerOutcome::ConnectionLost
                                   || (request.outcome != CallerOutcome::ConnectRefused && !wasOut);
                if (isCut && request.sentAt < stop.requestedAt)
                    this->report(Guarantee::PlannedStopIsGraceful, request.endedAt, request.request.ticket,
                                 "the planned stop dropped a request in flight");
            } else if (resultCodeInfo(answer->code).execution == Execution::Unknown && !stop.otherFaults) {
                this->report(Guarantee::PlannedStopIsGraceful, request.endedAt, request.request.ticket,
                             "the planned stop left a request with an unknown outcome: " + answer->text);
            }
        }
    }
}

void HistoryChecker::checkRules()
{
    // A request sent after an answer was received must not use an older version than that answer. Concurrent requests
    // may use either version.
    std::vector<const HistoryRuleUse *> bySeen;
    for (const HistoryRuleUse &use : this->history.ruleUses)
        bySeen.push_back(&use);
    std::vector<const HistoryRuleUse *> byRequest = bySeen;
    std::ranges::stable_sort(bySeen, {}, &HistoryRuleUse::seenAt);
    std::ranges::stable_sort(byRequest, {}, &HistoryRuleUse::requestAt);
    std::map<std::pair<std::uint32_t, std::uint64_t>, std::uint64_t> newest; ///< by proxy and incarnation
    std::size_t seen = 0;
    for (const HistoryRuleUse *later : byRequest) {
        for (; seen < bySeen.size() && bySeen[seen]->seenAt < later->requestAt; ++seen) {
            std::uint64_t &version = newest[{bySeen[seen]->proxy, bySeen[seen]->incarnation}];
            version = std::max(version, bySeen[seen]->version);
        }
        const std::uint64_t version = newest[{later->proxy, later->incarnation}];
        if (later->version < version)
            this->report(Guarantee::RulesInForce, later->seenAt, 0,
                         "proxy " + std::to_string(later->proxy) + " went back from rule version "
                             + std::to_string(version) + " to " + std::to_string(later->version));
    }

    for (const HistoryRuleUse &use : this->history.ruleUses) {
        for (const HistoryRuleChange &change : this->history.ruleChanges) {
            const TimePoint limit = change.acceptedAt + rulesLimit;
            if (use.version < change.version && use.requestAt > limit
                && !this->hasOutage(this->history.disconnections, use.proxy, use.requestAt - rulesLimit, use.requestAt))
                this->report(Guarantee::RulesInForce, use.seenAt, 0,
                             "proxy " + std::to_string(use.proxy) + " uses rule version " + std::to_string(use.version)
                                 + " instead of " + std::to_string(change.version) + ", accepted "
                                 + std::to_string((use.requestAt - change.acceptedAt).count()) + " us before");
        }
    }
}

void HistoryChecker::checkLimits()
{
    for (const HistoryBackend &backend : this->history.backends) {
        if (backend.peakSlots > backend.slots)
            this->report(Guarantee::LimitsKept, this->history.endedAt, 0,
                         backend.name + " executed " + std::to_string(backend.peakSlots)
                             + " statements at one time, its limit is " + std::to_string(backend.slots));
        if (backend.peakConnections > backend.connectionLimit)
            this->report(Guarantee::LimitsKept, this->history.endedAt, 0,
                         backend.name + " had " + std::to_string(backend.peakConnections)
                             + " connections, its limit is " + std::to_string(backend.connectionLimit));
    }
}

} // namespace Jujubekeel
