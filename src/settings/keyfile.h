#pragma once

#include <cstddef>
#include <cstdint>
#include <filesystem>
#include <string>
#include <vector>

namespace Jujubekeel {

/// Shortest accepted key: a random text of this length cannot be guessed by brute force.
constexpr std::size_t minKeyBytes = 32;

/// An error found in a key file.
struct KeyFileError
{
    std::uint32_t line = 0; ///< counted from 1; 0: the whole file
    std::string text;       ///< what was found and what was expected; never contains a key
};

/// Reads a file with one or two keys, one per line. The first key is used for signing or presented to others; both
/// are accepted. Empty lines and lines that start with `#` are skipped. On errors returns an empty list and appends
/// to \a errors.
[[nodiscard]] std::vector<std::string> readKeyFile(const std::filesystem::path &file,
                                                   std::vector<KeyFileError> &errors);

} // namespace Jujubekeel
