#pragma once

#include "core/platformmessages.h"

#include <cstdint>
#include <optional>
#include <string>

namespace Jujubekeel {

/// Accepted: the update took effect. Superseded: another update came first.
enum class RuleOperatorState : std::uint8_t { Reading, Writing, Accepted, Superseded };

/// An operator that changes the rule object: reads its version and updates it conditionally. After an unanswered update
/// it reads the object back and compares writer and sequence number. Owned by FleetPlatform.
class RuleOperator final
{
public:
    RuleOperator(std::string key, std::string author, std::uint64_t sequence, std::string text);

    /// Returns the next call to send, with the number \a call.
    [[nodiscard]] PlatformCall nextCall(std::uint64_t call);
    /// Handles the answer to the last call. Answers to earlier calls are ignored.
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
    bool wrote = false; ///< an update was sent whose answer may have been lost
    std::uint64_t version = 0;
};

} // namespace Jujubekeel
