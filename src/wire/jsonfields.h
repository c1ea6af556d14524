#pragma once

#include "core/failurereason.h"
#include "core/time.h"

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <utility>

namespace Jujubekeel {

/// Parses a JSON text. On an error returns an empty value with MalformedRequest as reason, which names the byte.
[[nodiscard]] std::optional<nlohmann::json> parseJsonText(std::string_view text, FailureReason &reason);
/// Returns a value as compact text; bytes that are not UTF-8 are replaced.
[[nodiscard]] std::string dumpJson(const nlohmann::json &json);

/// Whether a message must contain a field.
enum class FieldPresence : std::uint8_t { Optional, Required };

/// Reads the fields of one JSON object into the members of a message. The first error sets the reason to BadField
/// with the path of the field; later reads then do nothing. Optional fields that are absent leave the member
/// unchanged. Unknown fields are ignored, so that a newer sender can add some. Used as a local variable of one
/// function.
class JsonFields final
{
public:
    /// \a path is the path of the object, which errors name; empty for the outermost object.
    JsonFields(const nlohmann::json &object, std::string path, FailureReason &reason);

    void read(const char *name, std::string &target, FieldPresence presence = FieldPresence::Optional);
    void read(const char *name, bool &target, FieldPresence presence = FieldPresence::Optional);
    void read(const char *name, std::uint64_t &target, FieldPresence presence = FieldPresence::Optional);
    void read(const char *name, std::uint32_t &target, FieldPresence presence = FieldPresence::Optional);
    /// Whole microseconds, not negative.
    void read(const char *name, Duration &target, FieldPresence presence = FieldPresence::Optional);

    /// Reads the name of an enumerator; \a names lists all of them.
    template <typename Enum>
    void read(const char *name, Enum &target, std::span<const std::pair<std::string_view, Enum>> names,
              FieldPresence presence = FieldPresence::Optional)
    {
        std::optional<std::string> text = this->text(name, presence);
        if (!text)
            return;
        for (const auto &[known, value] : names) {
            if (known == *text) {
                target = value;
                return;
            }
        }
        this->fail(name, "unknown value: " + *text);
    }

    /// Returns an object or array for a nested reader; null if absent or after an error.
    [[nodiscard]] const nlohmann::json *object(const char *name, FieldPresence presence = FieldPresence::Optional);
    [[nodiscard]] const nlohmann::json *array(const char *name, FieldPresence presence = FieldPresence::Optional);
    /// Path of a field from the outermost object, for example "status.role"; with an empty name that of this object.
    [[nodiscard]] std::string pathOf(std::string_view name) const;

    /// Sets the reason, unless there was an error before. An empty \a name stands for the object itself.
    void fail(std::string_view name, const std::string &text);
    /// Adds the result of a nested reader, which sets the reason itself on an error.
    void requireNested(bool nestedOk) { this->ok = this->ok && nestedOk; }
    [[nodiscard]] bool isOk() const { return this->ok; }

private:
    [[nodiscard]] std::optional<std::string> text(const char *name, FieldPresence presence);
    [[nodiscard]] const nlohmann::json *find(const char *name, FieldPresence presence);

    const nlohmann::json &json;
    std::string objectPath;
    FailureReason &failureReason;
    bool ok = true;
};

} // namespace Jujubekeel
