#include "settings/keyfile.h"

#include <algorithm>
#include <fstream>

namespace Jujubekeel {

namespace {

constexpr std::size_t maxKeys = 2;

} // namespace

std::vector<std::string> readKeyFile(const std::filesystem::path &file, std::vector<KeyFileError> &errors)
{
    std::error_code failure;
    if (!std::filesystem::is_regular_file(file, failure)) {
        errors.push_back({.text = "is not a readable file; expected one or two keys, one per line"});
        return {};
    }
    std::ifstream stream(file);
    if (!stream) {
        errors.push_back({.text = "cannot be read; expected one or two keys, one per line"});
        return {};
    }

    std::vector<std::string> keys;
    const std::size_t errorsBefore = errors.size();
    std::uint32_t lineNumber = 0;
    for (std::string line; std::getline(stream, line);) {
        lineNumber += 1;
        if (line.ends_with('\r'))
            line.pop_back();
        if (line.empty() || line.starts_with('#'))
            continue;
        // Keys are sent in HTTP headers, which permit neither blanks at their ends nor control characters.
        const bool printable = std::ranges::all_of(line, [](unsigned char c) { return c > 0x20 && c < 0x7F; });
        if (!printable || line.size() < minKeyBytes) {
            errors.push_back({.line = lineNumber,
                              .text = "the key is not valid; expected at least " + std::to_string(minKeyBytes)
                                      + " printable ASCII characters without blanks"});
        } else if (std::ranges::find(keys, line) != keys.end()) {
            errors.push_back(
                {.line = lineNumber, .text = "the key repeats the one above; expected two different keys"});
        }
        keys.push_back(line);
    }
    if (keys.empty() || keys.size() > maxKeys) {
        errors.push_back(
            {.text = "holds " + std::to_string(keys.size()) + " keys; expected one or two keys, one per line"});
    }
    if (errors.size() > errorsBefore)
        keys.clear();
    return keys;
}

} // namespace Jujubekeel
