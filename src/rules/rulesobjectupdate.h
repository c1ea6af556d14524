#pragma once

#include "core/platformmessages.h"
#include "core/resultcode.h"
#include "core/time.h"
#include "rules/linediff.h"
#include "rules/rulesobject.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Jujubekeel {

struct RulesObjectUpdateOptions
{
    std::string user;                         ///< user of the system; determines the key of the object
    RulesObject object;                       ///< object to write; writer and sequence must be unique to this update
    std::optional<std::uint64_t> baseVersion; ///< version that the text was edited from, if known
    std::uint32_t attempts = 6;               ///< unanswered calls after which the update fails
    Duration retryDelay = std::chrono::milliseconds(200); ///< before the first retry; doubles for each further one
    Duration maxRetryDelay = std::chrono::seconds(2);
};

/// State of an update, final in all cases but InProgress.
enum class RulesObjectUpdateOutcome : std::uint8_t {
    InProgress,
    Applied,
    Unchanged,       ///< the platform already holds the same text; nothing was written
    Conflict,        ///< another edit is in force; this one did not take effect
    ConflictUnknown, ///< another edit is in force; this one may have been in force before it
    NotApplied,      ///< the platform did not answer, and nothing was written
    Unknown,         ///< the platform answered neither a write nor the reads after it
};

struct RulesObjectUpdateResult
{
    RulesObjectUpdateOutcome outcome = RulesObjectUpdateOutcome::InProgress;
    ResultCode code = ResultCode::Ok;
    std::uint64_t version = 0; ///< Applied, Unchanged: version with this text; conflicts: version of the other edit
    std::uint64_t replacedVersion = 0; ///< version read before the write; 0: the object did not exist
    bool answerWasLost = false;        ///< this update's write was found by its writer and sequence
    /// Applied: the replaced object; Unchanged: the current one; conflicts: the other edit; empty if there was none.
    RulesObject otherObject;
    /// Differences between the other object's text (old) and the text of this update (new).
    std::vector<LineDifference> differences;
};

/// The next platform call of an update.
struct RulesObjectUpdateCall
{
    Duration pause{0}; ///< time to wait before the call
    PlatformCall call;
};

/// Replaces the rules object of the platform with a write that is conditional on the version read before. A state
/// machine without I/O: takes the platform's answers and returns the next call. If the answer to a write is lost,
/// reads the object back and compares writer and sequence, so that an update is never applied twice. Ends after a
/// bounded number of calls. Owned by the operators' command; used by one thread.
class RulesObjectUpdate final
{
public:
    explicit RulesObjectUpdate(RulesObjectUpdateOptions options);

    /// The first call.
    [[nodiscard]] RulesObjectUpdateCall start();
    /// Handles the answer to the last call, Unavailable if there was none. Returns the next call, or an empty value
    /// once the update has ended.
    [[nodiscard]] std::optional<RulesObjectUpdateCall> handle(const PlatformAnswer &answer);

    [[nodiscard]] const RulesObjectUpdateResult &result() const { return this->updateResult; }

private:
    enum class Step : std::uint8_t { Reading, Writing, ReadingBack, Done };

    [[nodiscard]] RulesObjectUpdateCall makeCall(Step nextStep);
    [[nodiscard]] std::optional<RulesObjectUpdateCall> handleRead(const PlatformAnswer &answer);
    [[nodiscard]] std::optional<RulesObjectUpdateCall> handleWrite(const PlatformAnswer &answer);
    [[nodiscard]] std::optional<RulesObjectUpdateCall> handleReadBack(const PlatformAnswer &answer);
    [[nodiscard]] std::optional<RulesObjectUpdateCall> handleUnanswered();
    [[nodiscard]] bool isOwnWrite(const RulesObject &object) const;
    void finishApplied(std::uint64_t version);
    void finishWithConflict(const PlatformAnswer &answer);

    RulesObjectUpdateOptions options;
    Step step = Step::Reading;
    RulesObjectUpdateResult updateResult;
    std::uint64_t nextCallNumber = 1;
    std::uint64_t lastCallNumber = 0;
    std::uint64_t readVersion = 0; ///< 0: the object did not exist
    RulesObject readObject;
    std::uint32_t unansweredCalls = 0;
    bool writeUnanswered = false; ///< a write was not answered; it may have taken effect
    Duration pause{0};            ///< before the next call
};

} // namespace Jujubekeel
