#pragma once

#include <cstddef>
#include <cstdint>
#include <filesystem>
#include <string>
#include <vector>

namespace Jujubekeel {

/// Shortest accepted key: a random text of this many characters cannot be found by trying.
constexpr std::size_t minKeyBytes = 32;

struct KeyFileError
{
    std::uint32_t line = 0; ///< 0: the whole file
    std::string text;       ///< never holds a key
};

/// Reads a file with one or two keys, one a line. The first key signs or is presented, both are accepted. Empty lines
/// and lines that start with `#` are skipped. On errors returns an empty list and appends to \a errors.
[[nodiscard]] std::vector<std::string> readKeyFile(const std::filesystem::path &file,
                                                   std::vector<KeyFileError> &errors);

} // namespace Jujubekeel
