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

/// Parses a text. On an error the reason is MalformedRequest and names the byte.
[[nodiscard]] std::optional<nlohmann::json> parseJsonText(std::string_view text, FailureReason &reason);
/// Compact text of a value; bytes that are not UTF-8 are replaced.
[[nodiscard]] std::string jsonText(const nlohmann::json &json);

/// Whether a message is valid without the field.
enum class FieldNeed : std::uint8_t { Optional, Required };

/// Reads the fields of one JSON object into the members of a message. The first error goes to the reason as BadField with
/// the path of the field; later reads then do nothing. Optional fields that are absent leave the member as it is. Unknown
/// fields are ignored, so that a newer sender can add some. Lives within one function.
class JsonFields final
{
public:
    /// \a path names the object in errors; empty for the outermost.
    JsonFields(const nlohmann::json &object, std::string path, FailureReason &reason);

    void read(const char *name, std::string &target, FieldNeed need = FieldNeed::Optional);
    void read(const char *name, bool &target, FieldNeed need = FieldNeed::Optional);
    void read(const char *name, std::uint64_t &target, FieldNeed need = FieldNeed::Optional);
    void read(const char *name, std::uint32_t &target, FieldNeed need = FieldNeed::Optional);
    /// Whole microseconds, not negative.
    void read(const char *name, Duration &target, FieldNeed need = FieldNeed::Optional);

    /// Reads the name of an enumerator; \a names lists all of them.
    template <typename Enum>
    void read(const char *name, Enum &target, std::span<const std::pair<std::string_view, Enum>> names,
              FieldNeed need = FieldNeed::Optional)
    {
        std::optional<std::string> text = this->text(name, need);
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

    /// An object or array member that a reader of its own takes; null if absent or after an error.
    [[nodiscard]] const nlohmann::json *object(const char *name, FieldNeed need = FieldNeed::Optional);
    [[nodiscard]] const nlohmann::json *array(const char *name, FieldNeed need = FieldNeed::Optional);
    [[nodiscard]] std::string pathOf(std::string_view name) const;

    void fail(std::string_view name, const std::string &text);
    /// Takes over the result of a nested reader, which has set the reason itself.
    void require(bool nestedOk) { this->ok = this->ok && nestedOk; }
    [[nodiscard]] bool isOk() const { return this->ok; }

private:
    [[nodiscard]] std::optional<std::string> text(const char *name, FieldNeed need);
    [[nodiscard]] const nlohmann::json *find(const char *name, FieldNeed need);

    const nlohmann::json &json;
    std::string objectPath;
    FailureReason &lastReason;
    bool ok = true;
};

} // namespace Jujubekeel
