#pragma once

#include "leadership/fleetmessages.h"
#include "leadership/leadershiprecord.h"
#include "leadership/memberrecord.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace Jujubekeel {

/// The fleet's objects as last read from the store. Never goes back: of two versions of an object the one with the higher
/// revision counts. Owned by LeadershipSystem.
class FleetView final
{
public:
    struct Record
    {
        LeadershipRecord record;
        std::uint64_t revision = 0;
        TimePoint seenAt{0}; ///< when this version was first seen here
    };
    struct Member
    {
        MemberRecord record;
        std::uint64_t revision = 0;
        TimePoint seenAt{0};
    };

    [[nodiscard]] static std::string recordName(std::string_view service);
    [[nodiscard]] static std::string memberName(std::string_view instance);

    void apply(const FleetUpdate &update, TimePoint now);

    [[nodiscard]] const Record *record(std::string_view service) const;
    [[nodiscard]] const Member *member(std::string_view instance) const;
    [[nodiscard]] const std::map<std::string, Record, std::less<>> &records() const { return this->recordRows; }
    [[nodiscard]] const std::map<std::string, Member, std::less<>> &members() const { return this->memberRows; }
    /// Everything up to this revision is known; 0: nothing has been read yet.
    [[nodiscard]] std::uint64_t revision() const { return this->knownRevision; }
    /// Instance that last replaced a primary of any service; empty if there was none.
    [[nodiscard]] std::string lastHolder() const;

private:
    void applyObject(const FleetObject &object, TimePoint now);
    void removeMissing(const FleetUpdate &update);

    std::map<std::string, Record, std::less<>> recordRows; ///< by service
    std::map<std::string, Member, std::less<>> memberRows; ///< by instance
    std::uint64_t knownRevision = 0;
};

} // namespace Jujubekeel
