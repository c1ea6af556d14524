#include "wire/jsonfields.h"

#include <nlohmann/json.hpp>

#include <limits>

namespace Jujubekeel {

std::optional<nlohmann::json> parseJsonText(std::string_view text, FailureReason &reason)
{
    try {
        return nlohmann::json::parse(text);
    } catch (const nlohmann::json::parse_error &error) {
        reason.set(ResultCode::MalformedRequest, "byte " + std::to_string(error.byte) + ": not valid JSON");
        return std::nullopt;
    }
}

std::string dumpJson(const nlohmann::json &json)
{
    return json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

JsonFields::JsonFields(const nlohmann::json &object, std::string path, FailureReason &reason)
    : json(object), objectPath(std::move(path)), failureReason(reason)
{
    if (!object.is_object())
        this->fail({}, "an object is expected");
}

std::string JsonFields::pathOf(std::string_view name) const
{
    std::string result = this->objectPath;
    if (!result.empty() && !name.empty())
        result += '.';
    return result.append(name);
}

void JsonFields::fail(std::string_view name, const std::string &text)
{
    if (!this->ok)
        return;
    this->ok = false;
    const std::string path = this->pathOf(name);
    this->failureReason.set(ResultCode::BadField, (path.empty() ? "message" : "field " + path) + ": " + text);
}

const nlohmann::json *JsonFields::find(const char *name, FieldPresence presence)
{
    if (!this->ok)
        return nullptr;
    const auto found = this->json.find(name);
    if (found != this->json.end())
        return &*found;
    if (presence == FieldPresence::Required)
        this->fail(name, "missing");
    return nullptr;
}

std::optional<std::string> JsonFields::text(const char *name, FieldPresence presence)
{
    const nlohmann::json *value = this->find(name, presence);
    if (value == nullptr)
        return std::nullopt;
    if (!value->is_string()) {
        this->fail(name, "a string is expected");
        return std::nullopt;
    }
    return value->get<std::string>();
}

void JsonFields::read(const char *name, std::string &target, FieldPresence presence)
{
    if (auto value = this->text(name, presence))
        target = *std::move(value);
}

void JsonFields::read(const char *name, bool &target, FieldPresence presence)
{
    const nlohmann::json *value = this->find(name, presence);
    if (value == nullptr)
        return;
    if (!value->is_boolean()) {
        this->fail(name, "true or false is expected");
        return;
    }
    target = value->get<bool>();
}

void JsonFields::read(const char *name, std::uint64_t &target, FieldPresence presence)
{
    const nlohmann::json *value = this->find(name, presence);
    if (value == nullptr)
        return;
    // A value that was not parsed from text may hold a positive number as a signed one.
    const bool negative = value->is_number_integer() && !value->is_number_unsigned() && value->get<std::int64_t>() < 0;
    if (!value->is_number_integer() || negative) {
        this->fail(name, "a non-negative integer is expected");
        return;
    }
    target = value->get<std::uint64_t>();
}

void JsonFields::read(const char *name, std::uint32_t &target, FieldPresence presence)
{
    std::uint64_t wide = target;
    this->read(name, wide, presence);
    if (wide > std::numeric_limits<std::uint32_t>::max())
        this->fail(name, "the number is too large");
    else
        target = static_cast<std::uint32_t>(wide);
}

void JsonFields::read(const char *name, Duration &target, FieldPresence presence)
{
    std::uint64_t count = static_cast<std::uint64_t>(target.count());
    this->read(name, count, presence);
    if (count > static_cast<std::uint64_t>(Duration::max().count()))
        this->fail(name, "the number is too large");
    else
        target = Duration(static_cast<Duration::rep>(count));
}

const nlohmann::json *JsonFields::object(const char *name, FieldPresence presence)
{
    const nlohmann::json *value = this->find(name, presence);
    if (value != nullptr && !value->is_object()) {
        this->fail(name, "an object is expected");
        return nullptr;
    }
    return value;
}

const nlohmann::json *JsonFields::array(const char *name, FieldPresence presence)
{
    const nlohmann::json *value = this->find(name, presence);
    if (value != nullptr && !value->is_array()) {
        this->fail(name, "an array is expected");
        return nullptr;
    }
    return value;
}

} // namespace Jujubekeel
