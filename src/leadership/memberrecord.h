#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace Jujubekeel {

/// How an instance sees a primary that somebody suspects.
enum class PrimaryView : std::uint8_t { Reachable, Unreachable };

/// Whether a member takes work that other instances relay.
enum class MemberState : std::uint8_t {
    Joining, ///< has no proof yet of who leads
    Serving,
    Leaving, ///< stops; work under way is finished
};

/// What one instance has registered in the platform's store. An instance accepts results of primaries only while it is
/// registered; whoever replaces a primary waits for every registered instance.
struct MemberRecord
{
    std::uint64_t incarnation = 0; ///< start of the process; 0: struck off by another instance
    std::string relayAddress;      ///< "ip:port" where it takes relayed work; empty: nowhere
    std::string failureDomain;
    MemberState state = MemberState::Joining;
    std::uint64_t renewals = 0;               ///< rises whenever the instance comes back after its knowledge had lapsed
    std::map<std::string, PrimaryView> views; ///< by service; only while one is suspected
    std::map<std::string, std::uint64_t> released; ///< by service: epoch for which it no longer uses the old primary

    /// The instance did not answer in time. It may still believe what it knew when it was struck off.
    [[nodiscard]] bool isEvicted() const { return this->incarnation == 0; }
    [[nodiscard]] std::string toText() const;
    [[nodiscard]] static std::optional<MemberRecord> fromText(std::string_view text);
    bool operator==(const MemberRecord &) const = default;
};

} // namespace Jujubekeel
