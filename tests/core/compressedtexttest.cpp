#include "core/compressedtext.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

namespace Jujubekeel {

namespace {

TEST(CompressedText, IsRestored)
{
    EXPECT_TRUE(rc::check([](const std::string &text) {
        const std::string compressed = compressText(text);
        RC_ASSERT(compressed.find('\n') == std::string::npos);
        RC_ASSERT(decompressText(compressed, text.size()) == text);
        RC_ASSERT(!decompressText(compressed, text.size() + 1));
        RC_ASSERT((text.empty() || !decompressText(compressed, text.size() - 1)));
    }));
}

// Guards against a short text that expands to a very long one: a process that decompressed it whole would exceed the
// memory of its machine.
TEST(CompressedText, NoMoreThanTheGivenSizeIsDecompressed)
{
    constexpr std::size_t bytes = std::size_t{64} * 1024 * 1024;
    const std::string compressed = compressText(std::string(bytes, 'a'));
    EXPECT_LT(compressed.size(), bytes / 100);
    EXPECT_FALSE(decompressText(compressed, 1000));
}

// Guards against damaged text ending the process, or being taken for another text than the one that was compressed.
TEST(CompressedText, DamagedTextIsRejected)
{
    EXPECT_TRUE(rc::check([](const std::string &text, const std::string &other) {
        const std::string whole = compressText(text + "0123456789 0123456789");
        const std::size_t size = text.size() + 21;
        const std::size_t at = *rc::gen::inRange<std::size_t>(0, whole.size());
        RC_ASSERT(!decompressText(whole.substr(0, at / 2), size));
        std::string damaged = whole;
        damaged.insert(at, other);
        const auto restored = decompressText(damaged, size);
        RC_ASSERT((!restored || restored->size() == size));
    }));
    EXPECT_FALSE(decompressText("", 1));
    EXPECT_FALSE(decompressText("\xff\xfe%%%", 5));
}

} // namespace

} // namespace Jujubekeel
