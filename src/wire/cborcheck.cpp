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
    std::vector<std::uint64_t> open; ///< items that each open array or map still lacks
    std::size_t at = 0;
    do {
        // Head: major type and argument.
        const std::size_t start = at;
        if (at >= bytes.size())
            return errorAt(at, "ends early");
        const auto head = static_cast<unsigned char>(bytes[at++]);
        const unsigned type = head >> 5U;
        const unsigned low = head & 31U;
        std::uint64_t argument = low;
        if (low >= 24) {
            if (low > 27)
                return errorAt(start, "indefinite or reserved length");
            const std::size_t width = std::size_t{1} << (low - 24U);
            if (bytes.size() - at < width)
                return errorAt(at, "ends early");
            argument = 0;
            for (std::size_t index = 0; index < width; ++index)
                argument = (argument << 8U) | static_cast<unsigned char>(bytes[at++]);
        }

        // Content.
        switch (type) {
        case unsignedType:
            break;
        case negativeType:
            if (argument > static_cast<std::uint64_t>(INT64_MAX))
                return errorAt(start, "number is out of range");
            break;
        case textType:
            if (argument > bytes.size() - at)
                return errorAt(start, "text is longer than the message");
            at += argument;
            break;
        case arrayType:
        case mapType:
            // Each item takes at least one byte; this also keeps the doubled count of a map in range.
            if (argument > bytes.size() - at)
                return errorAt(start, "more items than bytes");
            if (open.size() >= depthLimit)
                return errorAt(start, "nested too deep");
            open.push_back(type == mapType ? argument * 2 : argument);
            break;
        case simpleType:
            if (low < falseValue || low > nullValue)
                return errorAt(start, "type is not in use");
            break;
        default:
            return errorAt(start, "type is not in use");
        }

        // An item inside a container is done, unless it opened one itself; finished containers are done as well.
        if (type != arrayType && type != mapType && !open.empty())
            open.back() -= 1;
        while (!open.empty() && open.back() == 0) {
            open.pop_back();
            if (!open.empty())
                open.back() -= 1;
        }
    } while (!open.empty());
    if (at != bytes.size())
        return errorAt(at, "bytes after the end");
    return std::nullopt;
}

} // namespace Jujubekeel
