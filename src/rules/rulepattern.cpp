#include "rules/rulepattern.h"

#include <cstddef>

namespace Jujubekeel {

bool matchesPattern(std::string_view pattern, std::string_view text)
{
    // On a mismatch only the last `*` has to match one more character, so the time is bounded by the product of the
    // lengths.
    std::size_t patternIndex = 0;
    std::size_t textIndex = 0;
    std::size_t starIndex = std::string_view::npos;
    std::size_t starTextIndex = 0;
    while (textIndex < text.size()) {
        if (patternIndex < pattern.size() && pattern[patternIndex] == '*') {
            starIndex = patternIndex++;
            starTextIndex = textIndex;
        } else if (patternIndex < pattern.size() && pattern[patternIndex] == text[textIndex]) {
            patternIndex += 1;
            textIndex += 1;
        } else if (starIndex != std::string_view::npos) {
            patternIndex = starIndex + 1;
            textIndex = ++starTextIndex;
        } else {
            return false;
        }
    }
    while (patternIndex < pattern.size() && pattern[patternIndex] == '*')
        patternIndex += 1;
    return patternIndex == pattern.size();
}

} // namespace Jujubekeel
