#pragma once

#include "core/id.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Jujubekeel {

/// Name of a transaction as callers see it: tells every proxy which owner holds the transaction.
/// Form: `owner/incarnation/id/term/backend`.
class TransactionName final
{
public:
    std::string owner;             ///< instance that holds the connection
    std::uint64_t incarnation = 0; ///< of that instance
    TransactionId id;              ///< row in its table
    std::uint64_t term = 0;        ///< term of the primary at Begin
    std::string backend;           ///< backend server

    [[nodiscard]] std::string toText() const;
    /// Empty if the text is not a transaction name.
    [[nodiscard]] static std::optional<TransactionName> parse(std::string_view text);
};

} // namespace Jujubekeel
