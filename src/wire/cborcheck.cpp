#include "wire/cborcheck.h"

#include <cstdint>
#include <vector>

namespace Jujubekeel {

namespace {

constexpr unsigned unsignedType = 0;
constexpr unsigned negativeType = 1;
constexpr unsigned textType = 3;
constexpr unsigned arrayType = 4;
constexpr unsigned mapType = 5;
constexpr unsigned simpleType = 7;

constexpr unsigned falseValue = 20;
constexpr unsigned nullValue = 22;

CborError errorAt(std::size_t byte, const char *text)
{
    return CborError{.byte = byte, .text = text};
}

} // namespace

std::optional<CborError> checkCbor(std::string_view bytes, std::size_t depthLimit)
{
    std::vector<std::uint64_t> missingItems; ///< for each open array or map: items that are not read yet
    std::size_t offset = 0;
    do {
        // Read the head: major type and argument.
        const std::size_t start = offset;
        if (offset >= bytes.size())
            return errorAt(offset, "unexpected end of the message");
        const auto head = static_cast<unsigned char>(bytes[offset++]);
        const unsigned type = head >> 5U;
        const unsigned low = head & 31U;
        std::uint64_t argument = low;
        if (low >= 24) {
            if (low > 27)
                return errorAt(start, "indefinite or reserved length");
            const std::size_t width = std::size_t{1} << (low - 24U);
            if (bytes.size() - offset < width)
                return errorAt(offset, "unexpected end of the message");
            argument = 0;
            for (std::size_t index = 0; index < width; ++index)
                argument = (argument << 8U) | static_cast<unsigned char>(bytes[offset++]);
        }

        // Check the type and the argument; skip the bytes of a text.
        switch (type) {
        case unsignedType:
            break;
        case negativeType:
            if (argument > static_cast<std::uint64_t>(INT64_MAX))
                return errorAt(start, "number is out of range");
            break;
        case textType:
            if (argument > bytes.size() - offset)
                return errorAt(start, "text is longer than the message");
            offset += argument;
            break;
        case arrayType:
        case mapType:
            // Each item takes at least one byte; this also keeps the doubled count of a map in range.
            if (argument > bytes.size() - offset)
                return errorAt(start, "more items than the message has bytes");
            if (missingItems.size() >= depthLimit)
                return errorAt(start, "nested too deeply");
            missingItems.push_back(type == mapType ? argument * 2 : argument);
            break;
        case simpleType:
            if (low < falseValue || low > nullValue)
                return errorAt(start, "unsupported type");
            break;
        default:
            return errorAt(start, "unsupported type");
        }

        // Count the item as read in its array or map, unless it is an array or map itself. An array or map without
        // missing items is closed and counted as read in the one around it.
        if (type != arrayType && type != mapType && !missingItems.empty())
            missingItems.back() -= 1;
        while (!missingItems.empty() && missingItems.back() == 0) {
            missingItems.pop_back();
            if (!missingItems.empty())
                missingItems.back() -= 1;
        }
    } while (!missingItems.empty());
    if (offset != bytes.size())
        return errorAt(offset, "bytes after the end of the item");
    return std::nullopt;
}

} // namespace Jujubekeel
