#pragma once

#include "core/storeversion.h"
#include "session/logposition.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace Jujubekeel {

/// Whether an instance reaches a suspected primary.
enum class PrimaryView : std::uint8_t { Reachable, Unreachable };

/// Whether a member accepts work that other instances relay.
enum class MemberState : std::uint8_t {
    Joining, ///< has not verified the leadership records yet
    Serving,
    Leaving, ///< is stopping; running work is finished
};

/// Registration of one instance in the platform's store. An instance accepts results of primaries only while it is
/// registered, and an instance that replaces a primary waits for every registered instance.
struct MemberRecord
{
    std::uint64_t incarnation = 0; ///< start of the process; 0: evicted by another instance
    std::string relayAddress;      ///< "ip:port" for relayed work; empty: accepts none
    std::string failureDomain;
    MemberState state = MemberState::Joining;
    std::uint64_t era = 0; ///< of the store in which the instance registered; 0: not known
    /// Point in the store's history from which on this incarnation knows what it has acknowledged; empty: not known. An
    /// earlier process of the same name may have acknowledged commits before.
    std::optional<StoreVersion> knownSince;
    std::uint64_t renewals = 0; ///< increases whenever the instance registers again after its authority lease expired
    std::map<std::string, PrimaryView> views;      ///< by service; only for suspected primaries
    std::map<std::string, std::uint64_t> released; ///< by service: epoch whose old primary it no longer uses
    /// By service: end of the old primary's log when the instance last saw it. All commits that this incarnation
    /// acknowledged are before it.
    std::map<std::string, LogPosition> seen;

    /// True if the instance no longer uses the primary that is replaced in this epoch or an earlier one.
    [[nodiscard]] bool hasReleased(const std::string &service, std::uint64_t epoch) const
    {
        const auto found = this->released.find(service);
        return found != this->released.end() && found->second >= epoch;
    }
    /// True if the instance did not release a primary in time and was evicted (log event member-struck-off). It may act
    /// on its old fleet view until its authority lease expires.
    [[nodiscard]] bool isEvicted() const { return this->incarnation == 0; }
    /// True if the instance registered in an earlier era of the store than \a presentEra, and not again since.
    [[nodiscard]] bool isOutdated(std::uint64_t presentEra) const { return this->era != 0 && this->era < presentEra; }
    [[nodiscard]] std::string toText() const;
    [[nodiscard]] static std::optional<MemberRecord> fromText(std::string_view text);
    bool operator==(const MemberRecord &) const = default;
};

} // namespace Jujubekeel
