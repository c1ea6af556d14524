#include "configcheck/namemask.h"

namespace Jujubekeel {

namespace {

/// Replaces control characters, also those of two bytes (U+0080 to U+009F), which terminals may obey.
std::string withoutControls(std::string_view name)
{
    std::string text(name);
    for (std::size_t at = 0; at < text.size(); ++at) {
        const auto byte = static_cast<unsigned char>(text[at]);
        const bool isPair = byte == 0xC2 && at + 1 < text.size() && static_cast<unsigned char>(text[at + 1]) < 0xA0;
        if (byte < 0x20 || byte == 0x7F || isPair)
            text.replace(at, isPair ? 2 : 1, "?");
    }
    return text;
}

} // namespace

void NameMask::addKey(std::string_view key)
{
    if (key.empty())
        return;
    this->keys.emplace(key);
    if (key.size() >= shortestPart && key.size() <= shownLimit)
        this->lengths.insert(key.size());
}

bool NameMask::hidesKey(std::string_view name) const
{
    if (this->keys.find(name) != this->keys.end())
        return true;
    if (name.size() > shownLimit)
        return false;
    for (const std::size_t length : this->lengths) {
        for (std::size_t start = 0; start + length <= name.size(); ++start) {
            if (this->keys.find(name.substr(start, length)) != this->keys.end())
                return true;
        }
    }
    return false;
}

std::string NameMask::shown(std::string_view name) const
{
    if (name.size() > shownLimit)
        return "(name of " + std::to_string(name.size()) + " bytes)";
    std::string text = withoutControls(name);
    if (this->hidesKey(name) || this->hidesKey(text))
        return "(name that contains a key)";
    return text;
}

} // namespace Jujubekeel
