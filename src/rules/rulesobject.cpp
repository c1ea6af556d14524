#include "rules/rulesobject.h"

#include <nlohmann/json.hpp>

namespace Jujubekeel {

std::string RulesObject::encode() const
{
    return nlohmann::json{{"writer", this->writer},
                          {"sequence", this->sequence},
                          {"author", this->author},
                          {"time", this->time},
                          {"text", this->text}}
        .dump();
}

std::optional<RulesObject> RulesObject::decode(std::string_view value, FailureReason &reason)
{
    const nlohmann::json json = nlohmann::json::parse(value, nullptr, false);
    if (!json.is_object()) {
        reason.set(ResultCode::BadRules, "the rules object is not a JSON object");
        return std::nullopt;
    }

    RulesObject object;
    for (auto &[name, target] : {std::pair<const char *, std::string &>{"writer", object.writer},
                                 {"author", object.author},
                                 {"time", object.time},
                                 {"text", object.text}}) {
        const auto found = json.find(name);
        if (found == json.end() || !found->is_string()) {
            reason.set(ResultCode::BadRules, std::string("the rules object has no string field \"") + name + '"');
            return std::nullopt;
        }
        target = found->get<std::string>();
    }
    const auto sequence = json.find("sequence");
    if (sequence == json.end() || !sequence->is_number_unsigned()) {
        reason.set(ResultCode::BadRules, "the rules object has no unsigned integer field \"sequence\"");
        return std::nullopt;
    }
    object.sequence = sequence->get<std::uint64_t>();
    return object;
}

std::string RulesObject::key(std::string_view user)
{
    return "rules/" + std::string(user);
}

} // namespace Jujubekeel
