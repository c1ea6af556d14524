#include "requests/transactionname.h"

#include <array>
#include <charconv>

namespace Jujubekeel {

namespace {

constexpr std::size_t fieldCount = 5;

bool parseNumber(std::string_view text, std::uint64_t &value)
{
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    return error == std::errc{} && end == text.data() + text.size();
}

} // namespace

std::string TransactionName::toText() const
{
    return this->owner + '/' + std::to_string(this->incarnation) + '/' + std::to_string(this->id.packed()) + '/'
           + std::to_string(this->term) + '/' + this->backend;
}

std::optional<TransactionName> TransactionName::parse(std::string_view text)
{
    std::array<std::string_view, fieldCount> fields;
    for (std::size_t index = 0; index < fieldCount; ++index) {
        const std::size_t end = text.find('/');
        const bool last = index + 1 == fieldCount;
        if (last != (end == std::string_view::npos))
            return std::nullopt;
        fields.at(index) = text.substr(0, end);
        if (!last)
            text.remove_prefix(end + 1);
    }

    TransactionName name{.owner = std::string(fields[0]), .backend = std::string(fields[4])};
    std::uint64_t packed = 0;
    if (!parseNumber(fields[1], name.incarnation) || !parseNumber(fields[2], packed)
        || !parseNumber(fields[3], name.term))
        return std::nullopt;
    name.id = TransactionId::fromPacked(packed);
    return name;
}

} // namespace Jujubekeel
