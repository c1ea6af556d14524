#include "catalog/jsonslices.h"

#include <algorithm>
#include <cstddef>
#include <utility>

namespace Jujubekeel {

namespace {

/// A part takes more memory than its text, which may be two bytes.
constexpr std::size_t maxElements = 200'000;
constexpr std::size_t maxMembers = 10'000;
constexpr std::string_view blanks = " \t\r\n";

/// Moves through a JSON text from one value to the next.
class JsonScanner final
{
public:
    explicit JsonScanner(std::string_view scannedText) : text(scannedText) {}

    /// Skips blanks, and \a expected if it follows; returns false otherwise.
    bool take(char expected)
    {
        this->skipBlanks();
        if (this->at >= this->text.size() || this->text[this->at] != expected)
            return false;
        this->at += 1;
        return true;
    }
    [[nodiscard]] bool isAtEnd()
    {
        this->skipBlanks();
        return this->at == this->text.size();
    }
    /// Content of a string, without its quotes; empty optional if none follows.
    std::optional<std::string_view> takeString()
    {
        this->skipBlanks();
        const std::size_t start = this->at;
        if (!this->skipString())
            return std::nullopt;
        return this->text.substr(start + 1, this->at - start - 2);
    }
    /// Text of a value of any type.
    std::optional<std::string_view> takeValue()
    {
        this->skipBlanks();
        const std::size_t start = this->at;
        std::size_t depth = 0;
        do {
            if (this->at >= this->text.size())
                return std::nullopt;
            const char letter = this->text[this->at];
            if (letter == '"') {
                if (!this->skipString())
                    return std::nullopt;
                continue;
            }
            if (letter == '{' || letter == '[') {
                depth += 1;
            } else if (letter == '}' || letter == ']') {
                if (depth == 0)
                    return std::nullopt;
                depth -= 1;
            } else if (depth == 0) {
                this->at = std::min(this->text.find_first_of(",]} \t\r\n", this->at), this->text.size());
                break;
            }
            this->at += 1;
        } while (depth > 0);
        if (this->at == start)
            return std::nullopt;
        return this->text.substr(start, this->at - start);
    }

private:
    void skipBlanks() { this->at = std::min(this->text.find_first_not_of(blanks, this->at), this->text.size()); }
    bool skipString()
    {
        if (this->at >= this->text.size() || this->text[this->at] != '"')
            return false;
        for (this->at += 1; this->at < this->text.size(); this->at += 1) {
            const char letter = this->text[this->at];
            if (letter == '\\') {
                this->at += 1;
            } else if (letter == '"') {
                this->at += 1;
                return true;
            }
        }
        return false;
    }

    std::string_view text;
    std::size_t at = 0;
};

} // namespace

std::optional<std::map<std::string, std::string_view, std::less<>>> sliceJsonObject(std::string_view text)
{
    JsonScanner scanner(text);
    std::map<std::string, std::string_view, std::less<>> members;
    if (!scanner.take('{'))
        return std::nullopt;
    if (!scanner.take('}')) {
        do {
            const auto name = scanner.takeString();
            if (!name || !scanner.take(':'))
                return std::nullopt;
            const auto value = scanner.takeValue();
            if (!value || members.size() >= maxMembers)
                return std::nullopt;
            members.insert_or_assign(std::string(*name), *value);
        } while (scanner.take(','));
        if (!scanner.take('}'))
            return std::nullopt;
    }
    return scanner.isAtEnd() ? std::optional(std::move(members)) : std::nullopt;
}

std::optional<std::vector<std::string_view>> sliceJsonArray(std::string_view text)
{
    JsonScanner scanner(text);
    std::vector<std::string_view> elements;
    if (!scanner.take('['))
        return std::nullopt;
    if (!scanner.take(']')) {
        do {
            const auto value = scanner.takeValue();
            if (!value || elements.size() >= maxElements)
                return std::nullopt;
            elements.push_back(*value);
        } while (scanner.take(','));
        if (!scanner.take(']'))
            return std::nullopt;
    }
    return scanner.isAtEnd() ? std::optional(std::move(elements)) : std::nullopt;
}

} // namespace Jujubekeel
