#include "core/resultcode.h"

#include <algorithm>
#include <array>
#include <cassert>

namespace Jujubekeel {

namespace {

constexpr std::array table{
    ResultCodeInfo{ResultCode::Ok, "ok", Execution::Ran, "the request ran and its effect is confirmed", "none"},
    ResultCodeInfo{ResultCode::MalformedRequest, "malformed-request", Execution::NotRun,
                   "the request is not valid HTTP or JSON", "correct the request; the answer names the place"},
    ResultCodeInfo{ResultCode::RequestTooLarge, "request-too-large", Execution::NotRun,
                   "the body is larger than the limit of the settings", "send less at once"},
    ResultCodeInfo{ResultCode::UnknownDatabase, "unknown-database", Execution::NotRun,
                   "no database of this name is in the settings", "check the name"},
    ResultCodeInfo{ResultCode::UnknownPath, "unknown-path", Execution::NotRun, "no such path or method",
                   "see docs/api.md"},
    ResultCodeInfo{ResultCode::BadField, "bad-field", Execution::NotRun,
                   "a field is missing, of the wrong type or out of range", "the answer names the field"},
    ResultCodeInfo{ResultCode::BadToken, "bad-token", Execution::NotRun,
                   "the session token is not signed with a key in use", "open a new session"},
    ResultCodeInfo{ResultCode::Unauthorized, "unauthorized", Execution::NotRun,
                   "the operator's key or the peer's key is missing or wrong", "check the key file"},
    ResultCodeInfo{ResultCode::QueueFull, "queue-full", Execution::NotRun, "the queue of the backend server is full",
                   "retry later"},
    ResultCodeInfo{ResultCode::DeadlineTooShort, "deadline-too-short", Execution::NotRun,
                   "the expected wait is longer than the time left", "retry later or allow more time"},
    ResultCodeInfo{ResultCode::NoPrimary, "no-primary", Execution::NotRun,
                   "the database has no primary that can be reached", "retry; a promotion may be under way"},
    ResultCodeInfo{ResultCode::NoRules, "no-rules", Execution::NotRun,
                   "the proxy has no rule set yet, so it cannot know what must not be repeated",
                   "check the platform's service and apply a rule file"},
    ResultCodeInfo{ResultCode::ReplicaTooOld, "replica-too-old", Execution::NotRun,
                   "no backend server is known to satisfy the accepted age", "retry, or accept older data by a rule"},
    ResultCodeInfo{ResultCode::ProxyStopping, "proxy-stopping", Execution::NotRun, "the proxy is being stopped",
                   "send the request to another instance"},
    ResultCodeInfo{ResultCode::NoOwner, "no-owner", Execution::NotRun,
                   "no reachable proxy holds the connections of the backend server", "retry; a takeover is under way"},
    ResultCodeInfo{ResultCode::BackendRefused, "backend-refused", Execution::NotRun,
                   "the backend server refused the statement before executing it", "retry"},
    ResultCodeInfo{ResultCode::ReadUnconfirmed, "read-unconfirmed", Execution::NotRun,
                   "the primary could not confirm in time that it is still the primary", "retry"},
    ResultCodeInfo{ResultCode::RetryBudgetSpent, "retry-budget-spent", Execution::NotRun,
                   "the request did not run and the retry budget is spent", "retry later"},
    ResultCodeInfo{ResultCode::ConnectionFailed, "connection-failed", Execution::NotRun,
                   "no connection to the backend server could be opened in time", "retry"},
    ResultCodeInfo{ResultCode::WriteNotTaken, "write-not-taken", Execution::NotRun,
                   "the replaced primary received the write, and the new primary does not hold it", "retry"},
    ResultCodeInfo{ResultCode::UnknownTransaction, "unknown-transaction", Execution::NotRun,
                   "the transaction does not exist or is already over", "begin a new transaction"},
    ResultCodeInfo{ResultCode::TransactionLost, "transaction-lost", Execution::NotRun,
                   "the transaction was rolled back because its connection or proxy was lost",
                   "begin a new transaction"},
    ResultCodeInfo{ResultCode::TransactionBusy, "transaction-busy", Execution::NotRun,
                   "a statement of the transaction is still running", "wait for its answer"},
    ResultCodeInfo{ResultCode::MarkNotSurvived, "mark-not-survived", Execution::NotRun,
                   "a write that the session saw is past the start of the next term and did not survive",
                   "check the write and open a new session"},
    ResultCodeInfo{ResultCode::MarkNotReached, "mark-not-reached", Execution::NotRun,
                   "no backend server that can be reached contains the session's writes yet", "retry"},
    ResultCodeInfo{ResultCode::OutcomeUnknown, "outcome-unknown", Execution::Unknown,
                   "the statement was sent and no answer settles whether it ran", "repeat with the same request key"},
    ResultCodeInfo{ResultCode::CommitUnconfirmed, "commit-unconfirmed", Execution::Unknown,
                   "the primary committed the write and no second backend server confirmed it in time",
                   "repeat with the same request key"},
    ResultCodeInfo{ResultCode::StatementFailed, "statement-failed", Execution::Failed,
                   "the backend server answered with an error", "see the text"},
    ResultCodeInfo{ResultCode::KeyReused, "key-reused", Execution::Failed,
                   "the request key was used before with another statement", "use a new key for each request"},
    ResultCodeInfo{ResultCode::BadSettings, "bad-settings", Execution::NotRun, "the settings file has errors",
                   "each error names file, line and key"},
    ResultCodeInfo{ResultCode::BadRules, "bad-rules", Execution::NotRun, "the rule file has errors",
                   "each error names file and line"},
    ResultCodeInfo{ResultCode::RulesConflict, "rules-conflict", Execution::NotRun,
                   "another operator changed the rules first", "read the current rules and apply again"},
    ResultCodeInfo{ResultCode::PlatformUnavailable, "platform-unavailable", Execution::Unknown,
                   "the platform did not answer", "retry; a repeated change is recognized"},
    ResultCodeInfo{ResultCode::UsageError, "usage-error", Execution::NotRun, "the command line is not valid",
                   "see --help"},
    ResultCodeInfo{ResultCode::NotFound, "not-found", Execution::NotRun, "no such object, request or trace",
                   "check the name; records are kept for a limited time"},
    ResultCodeInfo{ResultCode::InstanceUnreachable, "instance-unreachable", Execution::NotRun,
                   "an instance did not answer on its operators' address", "check the instance"},
    ResultCodeInfo{ResultCode::InternalError, "internal-error", Execution::Unknown, "a fault in the proxy",
                   "report it with the log line"},
};

} // namespace

std::span<const ResultCodeInfo> resultCodeTable()
{
    return table;
}

const ResultCodeInfo &resultCodeInfo(ResultCode code)
{
    const auto *row = std::ranges::find(table, code, &ResultCodeInfo::code);
    assert(row != table.end());
    return *row;
}

std::string_view executionName(Execution execution)
{
    switch (execution) {
    case Execution::Ran:
        return "ran";
    case Execution::NotRun:
        return "not run";
    case Execution::Unknown:
        return "unknown";
    case Execution::Failed:
        return "failed";
    }
    return "unknown";
}

} // namespace Jujubekeel
