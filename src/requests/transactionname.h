#pragma once

#include "core/id.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Jujubekeel {

/// Transaction id as callers see it. Any proxy can read from it which owner holds the transaction.
/// Form: `owner/incarnation/id/term/backend`.
class TransactionName final
{
public:
    std::string owner;             ///< instance that holds the transaction's connection
    std::uint64_t incarnation = 0; ///< incarnation of that instance
    TransactionId id;              ///< row in that instance's table of transactions
    std::uint64_t term = 0;        ///< term of the primary at Begin
    std::string backend;           ///< name of the backend server

    [[nodiscard]] std::string toText() const;
    /// Empty if the text is malformed.
    [[nodiscard]] static std::optional<TransactionName> parse(std::string_view text);
};

} // namespace Jujubekeel
