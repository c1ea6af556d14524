#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Jujubekeel {

/// Content of the platform's object `leases/<database>`: the instance that may acknowledge writes, and the term. Text
/// form: `TERM HOLDER INCARNATION SEQUENCE`. The lease is valid for leaseDuration after the sending of the write.
struct LeaseRecord
{
    std::uint64_t term = 0;
    std::string holder;            ///< instance that wrote the record
    std::uint64_t incarnation = 0; ///< of the holder; a restarted process reuses sequence numbers
    std::uint64_t sequence = 0;

    bool operator==(const LeaseRecord &) const = default;
};

[[nodiscard]] std::string leaseKey(std::string_view database);
[[nodiscard]] std::string formatLease(const LeaseRecord &record);
/// Empty if the text does not have that form.
[[nodiscard]] std::optional<LeaseRecord> parseLease(std::string_view text);

} // namespace Jujubekeel
