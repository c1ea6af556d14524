#pragma once

#include "core/platformmessages.h"

#include <cstdint>
#include <optional>
#include <string>

namespace Jujubekeel {

enum class RuleOperatorState : std::uint8_t { Reading, Writing, Accepted, Overtaken };

/// An operator who changes the rule object: reads the version, updates conditionally and, after an unanswered update,
/// reads back and compares writer and sequence number. Owned by VirtualFleet.
class RuleOperator final
{
public:
    RuleOperator(std::string key, std::string author, std::uint64_t sequence, std::string text);

    /// The call to send now.
    [[nodiscard]] PlatformCall nextCall(std::uint64_t call);
    /// Takes the answer to the last call. Answers to earlier calls are ignored.
    void handle(const PlatformAnswer &answer);

    [[nodiscard]] RuleOperatorState state() const { return this->currentState; }
    [[nodiscard]] bool isDone() const { return this->currentState >= RuleOperatorState::Accepted; }
    /// Version that holds the change; 0 until it is accepted.
    [[nodiscard]] std::uint64_t acceptedVersion() const { return this->version; }
    [[nodiscard]] std::uint64_t lastCall() const { return this->callNumber; }
    [[nodiscard]] const std::string &text() const { return this->ruleText; }

private:
    [[nodiscard]] std::string objectValue() const;
    [[nodiscard]] bool isOwnValue(const std::string &value) const;

    std::string objectKey;
    std::string authorName;
    std::uint64_t sequenceNumber;
    std::string ruleText;
    RuleOperatorState currentState = RuleOperatorState::Reading;
    std::uint64_t callNumber = 0;
    std::uint64_t readVersion = 0;
    bool wrote = false; ///< an update was sent and its answer has not been seen
    std::uint64_t version = 0;
};

} // namespace Jujubekeel
