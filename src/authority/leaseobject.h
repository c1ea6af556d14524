#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Jujubekeel {

/// Content of the platform's object `leases/<database>`: who may acknowledge writes, for which term. Text:
/// `TERM HOLDER INCARNATION SEQUENCE`. The validity follows from leaseDuration and from the moment of the write.
struct LeaseRecord
{
    std::uint64_t term = 0;
    std::string holder;            ///< instance that wrote the record
    std::uint64_t incarnation = 0; ///< of the instance; a restarted process uses the same sequence numbers again
    std::uint64_t sequence = 0;

    bool operator==(const LeaseRecord &) const = default;
};

[[nodiscard]] std::string leaseKey(std::string_view database);
[[nodiscard]] std::string formatLease(const LeaseRecord &record);
/// Empty if the text is not of that form.
[[nodiscard]] std::optional<LeaseRecord> parseLease(std::string_view text);

} // namespace Jujubekeel
