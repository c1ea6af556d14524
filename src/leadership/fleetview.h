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

/// Local copy of the fleet's objects in the store. Of two versions of an object the one with the higher revision is
/// kept. Owned by RegistrationSystem.
class FleetView final
{
public:
    /// Leadership record of one service.
    struct Record
    {
        LeadershipRecord record;
        std::uint64_t revision = 0;
        TimePoint seenAt{0}; ///< arrival of this version at this instance
    };
    /// Registration of one instance.
    struct Member
    {
        MemberRecord record;
        std::uint64_t revision = 0;
        TimePoint seenAt{0};
    };

    /// Name of the stored object.
    [[nodiscard]] static std::string recordName(std::string_view service);
    [[nodiscard]] static std::string memberName(std::string_view instance);

    /// Ignores objects that cannot be read. Returns false if the update is older than the view and was ignored.
    bool apply(const FleetUpdate &update, TimePoint now);

    [[nodiscard]] const Record *record(std::string_view service) const;
    [[nodiscard]] const Member *member(std::string_view instance) const;
    [[nodiscard]] const std::map<std::string, Record, std::less<>> &records() const { return this->recordRows; }
    [[nodiscard]] const std::map<std::string, Member, std::less<>> &members() const { return this->memberRows; }
    /// Store revision that the view reflects; 0: nothing has been read yet.
    [[nodiscard]] std::uint64_t revision() const { return this->knownRevision; }
    /// Store revision that the members in the view reflect, which may have been reported by another instance.
    [[nodiscard]] std::uint64_t memberRevision() const;
    /// Differs between views whose members differ in what concerns relaying instances.
    [[nodiscard]] std::uint64_t memberDigest() const;
    /// Instance that last replaced a primary of any service; empty if there was none.
    [[nodiscard]] std::string lastHolder() const;

private:
    void applyObject(const FleetObject &object, TimePoint now);
    bool applyReported(const FleetUpdate &update, TimePoint now);
    void removeMissing(const FleetUpdate &update);

    std::map<std::string, Record, std::less<>> recordRows; ///< by service
    std::map<std::string, Member, std::less<>> memberRows; ///< by instance
    std::uint64_t knownRevision = 0;
    std::uint64_t reportedRevision = 0; ///< of the last report of a member
};

} // namespace Jujubekeel
