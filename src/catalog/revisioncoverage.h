#pragma once

#include "core/storeversion.h"
#include "core/time.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <span>
#include <vector>

namespace Jujubekeel {

/// Kinds of objects in the store that an instance follows, each with a watch of its own.
enum class FollowedKind : std::uint8_t { Routes, Servers, Fleet };

/// Finds changes of the store that no watch has reported: a watch request whose answer is lost looks like one that waits for
/// a change. The store counts the changes of all kinds in one revision, and each answer contains the present one. A
/// revision that none of the reported objects has belongs to a change that is still to come, or that is lost. Owned by
/// EntryStore; used only on the event loop.
class RevisionCoverage final
{
public:
    static constexpr std::size_t kindCount = 3;

    /// Without it a kind is never due.
    void setFollowed(FollowedKind kind, bool followed, TimePoint now);
    /// The watch of \a kind has reported all its changes up to \a version; \a revisions are those of the objects.
    void reported(FollowedKind kind, StoreVersion version, std::span<const std::uint64_t> revisions, TimePoint now);
    /// When takeDue() must be called; empty if nothing is missing.
    [[nodiscard]] std::optional<TimePoint> nextDue() const;
    /// Kinds that must be listed because changes have been missing for too long.
    [[nodiscard]] std::vector<FollowedKind> takeDue(TimePoint now);

private:
    struct Kind
    {
        bool followed = false;
        StoreVersion covered;                 ///< up to which its watch has reported all changes
        std::optional<TimePoint> dueAt;       ///< empty: nothing is missing
        std::optional<TimePoint> lastListing; ///< when it was last due
    };

    void update(TimePoint now);
    [[nodiscard]] bool lacksChanges(const Kind &kind) const;

    std::array<Kind, kindCount> kinds;
    StoreVersion highest;                      ///< of all answers
    std::set<std::uint64_t> reportedRevisions; ///< in the present era, above the lowest covered version
};

} // namespace Jujubekeel
