#pragma once

#include <cstddef>
#include <functional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_set>

namespace Jujubekeel {

/// Makes names of a configuration safe to print: without keys of callers, control characters and great length. A key that
/// was written in place of a name by mistake must not reach a terminal or a file.
class NameMask final
{
public:
    static constexpr std::size_t shownLimit = 80; ///< bytes; longer names are described by their length
    /// Keys shorter than this are looked for as whole names only; most names contain such a text by chance.
    static constexpr std::size_t shortestPart = 4;

    void addKey(std::string_view key);
    /// The name, or a description of a name that is not shown.
    [[nodiscard]] std::string shown(std::string_view name) const;
    /// As shown(), in quotation marks.
    [[nodiscard]] std::string quoted(std::string_view name) const { return '"' + this->shown(name) + '"'; }
    /// Whether the name is or contains a key. Names above `shownLimit` are only compared as a whole.
    [[nodiscard]] bool hidesKey(std::string_view name) const;

private:
    struct Hash
    {
        using is_transparent = void;
        std::size_t operator()(std::string_view text) const { return std::hash<std::string_view>{}(text); }
    };

    std::unordered_set<std::string, Hash, std::equal_to<>> keys;
    std::set<std::size_t> lengths; ///< of keys that are looked for in names
};

} // namespace Jujubekeel
