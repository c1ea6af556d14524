#pragma once

#include <cstdint>
#include <span>
#include <string_view>

namespace Jujubekeel {

/// Numbered result of a request, a command or a check. docs/errors.md holds the same table; a test compares the two.
enum class ResultCode : std::uint16_t {
    Ok = 0,

    MalformedRequest = 100,
    RequestTooLarge = 101,
    UnknownDatabase = 102,
    UnknownPath = 103,
    BadField = 104,
    BadToken = 105,
    Unauthorized = 106,

    QueueFull = 200,
    DeadlineTooShort = 202,
    NoPrimary = 203,
    NoRules = 204,
    ReplicaTooOld = 205,
    ProxyStopping = 206,
    NoOwner = 207,
    BackendRefused = 208,
    ReadUnconfirmed = 209,
    RetryBudgetSpent = 210,
    ConnectionFailed = 211,
    WriteNotTaken = 212,

    UnknownTransaction = 300,
    TransactionLost = 301,
    TransactionBusy = 302,
    MarkNotSurvived = 303,
    MarkNotReached = 304,

    OutcomeUnknown = 400,
    CommitUnconfirmed = 401,

    StatementFailed = 500,
    KeyReused = 501,

    BadSettings = 600,
    BadRules = 601,
    RulesConflict = 602,
    PlatformUnavailable = 603,
    UsageError = 604,
    NotFound = 605,
    InstanceUnreachable = 606,

    InternalError = 700,
};

/// Whether the request was executed, as far as the result shows.
enum class Execution : std::uint8_t {
    Ran,     ///< executed and confirmed
    NotRun,  ///< never executed, or its effect provably does not survive
    Unknown, ///< sent, but no answer shows whether it was executed
    Failed,  ///< the backend server answered with an error
};

/// One row of the table of result codes.
struct ResultCodeInfo
{
    ResultCode code;
    std::string_view name;
    Execution execution;
    std::string_view cause;
    std::string_view remedy;
};

/// All result codes in ascending order.
[[nodiscard]] std::span<const ResultCodeInfo> resultCodeTable();

/// The row of a code. The code must be in the table.
[[nodiscard]] const ResultCodeInfo &resultCodeInfo(ResultCode code);

[[nodiscard]] std::string_view executionName(Execution execution);

/// True if the code guarantees that the request did not run.
[[nodiscard]] inline bool isNotRun(ResultCode code)
{
    return resultCodeInfo(code).execution == Execution::NotRun;
}

} // namespace Jujubekeel
