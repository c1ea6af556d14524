#pragma once

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <cstdlib>
#include <functional>
#include <string>
#include <vector>

/// Helpers of the tests that give decoders damaged input. Environment variable JUJUBEKEEL_FUZZ_RUNS: inputs for each
/// decoder.
namespace Jujubekeel {

inline constexpr int defaultRuns = 3000;

inline int fuzzRuns()
{
    const char *runs = std::getenv("JUJUBEKEEL_FUZZ_RUNS");
    return runs == nullptr ? defaultRuns : std::atoi(runs);
}

inline std::string nested(std::size_t depth)
{
    return std::string(depth, '[') + std::string(depth, ']');
}

/// Changes a valid text in one of the ways in which other writers get it wrong.
inline std::string mutated(std::string text)
{
    static const std::vector<std::string> values{
        "null",        "-1",           "1e300",    "18446744073709551616", "true", "\"x\"", "[]", "{}", "0.5",
        "\"\\ud800\"", "\"\xff\xfe\"", nested(40), "-9223372036854775809"};
    const auto position = [&] { return *rc::gen::inRange<std::size_t>(0, text.size() + 1); };
    switch (*rc::gen::inRange(0, 7)) {
    case 0:
        return text.substr(0, position());
    case 1: {
        const std::size_t at = position();
        return text.insert(at, *rc::gen::container<std::string>(rc::gen::arbitrary<char>()));
    }
    case 2: { // another value in place of the one after a colon
        std::vector<std::size_t> colons;
        for (std::size_t at = text.find(':'); at != std::string::npos; at = text.find(':', at + 1))
            colons.push_back(at + 1);
        if (colons.empty())
            return text;
        const std::size_t from = colons.at(*rc::gen::inRange<std::size_t>(0, colons.size()));
        const std::size_t to = std::min(text.find_first_of(",}", from), text.size());
        return text.replace(from, to - from, *rc::gen::elementOf(values));
    }
    case 3: // a part twice
    {
        const std::size_t from = position();
        const std::string part = text.substr(from, *rc::gen::inRange<std::size_t>(0, 200));
        return text.insert(from, part);
    }
    case 4: {
        const std::size_t at = position();
        if (at < text.size())
            text[at] = *rc::gen::arbitrary<char>();
        return text;
    }
    case 5: {
        const std::size_t from = position();
        return text.erase(from, *rc::gen::inRange<std::size_t>(0, 40));
    }
    default:
        return *rc::gen::elementOf(values) + text;
    }
}

/// Runs a property with fuzzRuns() inputs.
inline void checkRuns(const std::function<void()> &property)
{
    const int runs = fuzzRuns();
    const auto result = rc::detail::checkTestable(property, rc::detail::TestMetadata{}, [&] {
        rc::detail::TestParams params = rc::detail::configuration().testParams;
        params.maxSuccess = runs;
        return params;
    }());
    EXPECT_TRUE(result.template is<rc::detail::SuccessResult>());
}

/// Runs the decoder on changed forms of a valid text; it must return, whatever the text.
inline void fuzz(const std::string &valid, const std::function<void(const std::string &text)> &decode)
{
    checkRuns([&] {
        std::string text = valid;
        const int changes = *rc::gen::inRange(0, 4);
        for (int change = 0; change < changes; ++change)
            text = mutated(text);
        decode(text);
    });
}

} // namespace Jujubekeel
