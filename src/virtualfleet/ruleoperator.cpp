#include "virtualfleet/ruleoperator.h"

#include <nlohmann/json.hpp>

#include <cassert>
#include <utility>

namespace Jujubekeel {

RuleOperator::RuleOperator(std::string key, std::string author, std::uint64_t sequence, std::string text)
    : objectKey(std::move(key)), authorName(std::move(author)), sequenceNumber(sequence), ruleText(std::move(text))
{
}

PlatformCall RuleOperator::nextCall(std::uint64_t call)
{
    assert(!this->isDone());
    this->callNumber = call;
    if (this->currentState == RuleOperatorState::Reading)
        return PlatformCall{.call = call, .operation = PlatformOperation::Get, .key = this->objectKey, .value = {}};
    this->wrote = true;
    return PlatformCall{.call = call,
                        .operation = PlatformOperation::Put,
                        .key = this->objectKey,
                        .expectedVersion = this->readVersion,
                        .value = this->objectValue()};
}

void RuleOperator::handle(const PlatformAnswer &answer)
{
    if (answer.call != this->callNumber || this->isDone())
        return;
    if (answer.code == PlatformStatusCode::Unavailable) {
        this->currentState = RuleOperatorState::Reading;
        return;
    }

    if (this->currentState == RuleOperatorState::Reading) {
        // If the answer to an update was lost, the object shows whether the update took effect.
        if (this->wrote && this->isOwnValue(answer.value)) {
            this->version = answer.version;
            this->currentState = RuleOperatorState::Accepted;
        } else if (this->wrote && answer.version != this->readVersion) {
            this->currentState = RuleOperatorState::Superseded;
        } else {
            this->readVersion = answer.code == PlatformStatusCode::NotFound ? 0 : answer.version;
            this->currentState = RuleOperatorState::Writing;
        }
        return;
    }

    if (answer.code == PlatformStatusCode::Ok) {
        this->version = answer.version;
        this->currentState = RuleOperatorState::Accepted;
    } else {
        this->currentState = RuleOperatorState::Superseded;
    }
}

std::string RuleOperator::objectValue() const
{
    const nlohmann::json value = {{"writer", this->authorName},
                                  {"sequence", this->sequenceNumber},
                                  {"author", this->authorName},
                                  {"time", "2026-12-04T00:00:00Z"},
                                  {"text", this->ruleText}};
    return value.dump();
}

bool RuleOperator::isOwnValue(const std::string &value) const
{
    const nlohmann::json parsed = nlohmann::json::parse(value, nullptr, false);
    return parsed.is_object() && parsed.value("writer", "") == this->authorName
           && parsed.value("sequence", std::uint64_t{0}) == this->sequenceNumber;
}

} // namespace Jujubekeel
