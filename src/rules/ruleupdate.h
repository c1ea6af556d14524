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

struct RuleUpdateOptions
{
    std::string user;                         ///< names the object
    RulesObject object;                       ///< what is written; writer and sequence must identify this update only
    std::optional<std::uint64_t> baseVersion; ///< the version that the text was edited from, if known
    std::uint32_t attempts = 6;               ///< unanswered calls before giving up
    Duration retryPause = std::chrono::milliseconds(200); ///< before the call after an unanswered one; doubles
    Duration maxRetryPause = std::chrono::seconds(2);
};

enum class RuleUpdateOutcome : std::uint8_t {
    UnderWay,
    Applied,
    Unchanged,       ///< the platform holds the same text already; nothing was written
    Conflict,        ///< another edit won; this one did not take effect
    ConflictUnknown, ///< another edit is in force; this one may have been in force before it
    NotApplied,      ///< the platform did not answer before anything was written
    Unknown,         ///< the platform did not answer a write, nor the reads after it
};

struct RuleUpdateResult
{
    RuleUpdateOutcome outcome = RuleUpdateOutcome::UnderWay;
    ResultCode code = ResultCode::Ok;
    std::uint64_t version = 0; ///< Applied, Unchanged: own version; conflicts: that of the other edit
    std::uint64_t replacedVersion = 0;
    bool answerWasLost = false; ///< the own write was recognized by writer and sequence number
    RulesObject other;          ///< Applied: the replaced object; conflicts: the other edit; empty if there was none
    /// From the other object's text to the own text.
    std::vector<LineDifference> differences;
};

struct RuleUpdateCall
{
    Duration pause{0}; ///< to wait before the call
    PlatformCall call;
};

/// Replaces the rule text of the platform, conditionally on the version read. A state machine without I/O: takes the
/// platform's answers and gives the next call. A lost answer is recognized by reading back writer id and sequence number,
/// so that an update is never applied twice. Ends after a bounded number of calls. Owned by the operators' command.
class RuleUpdate final
{
public:
    explicit RuleUpdate(RuleUpdateOptions options);

    /// The first call.
    [[nodiscard]] RuleUpdateCall start();
    /// Takes the answer to the last call, Unavailable if there was none. Empty once the update is over.
    [[nodiscard]] std::optional<RuleUpdateCall> handle(const PlatformAnswer &answer);

    [[nodiscard]] const RuleUpdateResult &result() const { return this->updateResult; }

private:
    enum class Step : std::uint8_t { Reading, Writing, ReadingBack, Over };

    [[nodiscard]] RuleUpdateCall makeCall(Step nextStep);
    [[nodiscard]] std::optional<RuleUpdateCall> handleRead(const PlatformAnswer &answer);
    [[nodiscard]] std::optional<RuleUpdateCall> handleWrite(const PlatformAnswer &answer);
    [[nodiscard]] std::optional<RuleUpdateCall> handleReadBack(const PlatformAnswer &answer);
    [[nodiscard]] std::optional<RuleUpdateCall> handleUnanswered();
    [[nodiscard]] bool isOwn(const RulesObject &object) const;
    void finishApplied(std::uint64_t version);
    void finishWithOther(const PlatformAnswer &answer);

    RuleUpdateOptions options;
    Step step = Step::Reading;
    RuleUpdateResult updateResult;
    std::uint64_t nextCall = 1;
    std::uint64_t lastCall = 0;
    std::uint64_t readVersion = 0; ///< 0: the object did not exist
    RulesObject readObject;
    std::uint32_t unanswered = 0;
    bool writeUnanswered = false; ///< a write may have taken effect without an answer
    Duration pause{0};
};

} // namespace Jujubekeel
