#pragma once

#include "leadership/fleetmessages.h"
#include "leadership/grouprecord.h"
#include "leadership/leadershiprecord.h"
#include "leadership/memberrecord.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace Jujubekeel {

/// Local copy of the fleet's objects in the store. Of two versions of an object the higher one is kept. Versions are
/// ordered by era and revision, because a store that returns from an older copy gives out revisions again.
///
/// Such a store may have lost records and registrations. The view remembers those of the era before until the new one
/// counts as recovered, which a marker object in the store states: lost records have then been written again, and the
/// authority leases of the era before have expired. Owned by RegistrationSystem.
class FleetView final
{
public:
    /// Leadership record of one service.
    struct Record
    {
        LeadershipRecord record;
        StoreVersion version;
        TimePoint seenAt{0}; ///< arrival of this version at this instance
        bool lost = false;   ///< the store holds an earlier record or, at revision 0, none
    };
    /// Registration of one instance.
    struct Member
    {
        MemberRecord record;
        StoreVersion version;
        TimePoint seenAt{0};
    };

    /// GroupRecord of one service.
    struct Group
    {
        GroupRecord record;
        StoreVersion version;
    };

    /// Name of the stored object.
    [[nodiscard]] static std::string recordName(std::string_view service);
    [[nodiscard]] static std::string memberName(std::string_view instance);
    [[nodiscard]] static std::string groupName(std::string_view service);
    /// Name and content of the object that marks an era as recovered.
    static constexpr std::string_view recoveryName = "recovery";
    [[nodiscard]] static std::string recoveryText(std::uint64_t era);

    /// Whether the object is a registration, or tells whether registrations of an earlier era still count.
    [[nodiscard]] static bool concernsMembers(std::string_view name);

    /// Whether the view can use an object of this name and content; always true for names that it does not know.
    [[nodiscard]] static bool isReadable(std::string_view name, std::string_view content);

    /// Ignores objects that cannot be read. Returns false if the update is older than the view and was ignored.
    bool apply(const FleetUpdate &update, TimePoint now);

    [[nodiscard]] const Record *record(std::string_view service) const;
    [[nodiscard]] const Member *member(std::string_view instance) const;
    [[nodiscard]] const Group *group(std::string_view service) const;
    [[nodiscard]] const std::map<std::string, Record, std::less<>> &records() const { return this->recordRows; }
    [[nodiscard]] const std::map<std::string, Member, std::less<>> &members() const { return this->memberRows; }
    /// Version of the store that the view reflects; revision 0: nothing has been read yet.
    [[nodiscard]] StoreVersion version() const { return this->knownVersion; }
    [[nodiscard]] std::uint64_t revision() const { return this->knownVersion.revision; }
    /// When this instance first read the store in the present era.
    [[nodiscard]] TimePoint eraSeenAt() const { return this->eraFirstSeen; }
    /// Always true for a store without eras.
    [[nodiscard]] bool isEraRecovered() const;
    /// True if this instance read the store in the era before, so that its view contains what the copy may lack.
    [[nodiscard]] bool remembersEarlierEra() const { return this->hasEarlierEra; }
    /// Revision of the marker object; 0: there is none.
    [[nodiscard]] std::uint64_t recoveryRevision() const { return this->markerRevision; }
    /// The registration of an instance, if it was written in the present era of the store.
    [[nodiscard]] const Member *currentMember(std::string_view instance) const;
    /// Version of the store that the members in the view reflect, which may have been reported by another instance.
    [[nodiscard]] StoreVersion memberVersion() const;
    [[nodiscard]] std::uint64_t memberRevision() const { return this->memberVersion().revision; }
    /// Differs between views whose members differ in what concerns relaying instances.
    [[nodiscard]] std::uint64_t memberDigest() const;
    /// Version at which a member that may have acknowledged commits was last missing, or may have come and gone unseen.
    [[nodiscard]] StoreVersion memberLostAt() const { return this->lostMemberVersion; }
    /// Instance that last replaced a primary of any service; empty if there was none.
    [[nodiscard]] std::string lastHolder() const;

private:
    void applyObject(const FleetObject &object, std::uint64_t era, TimePoint now);
    bool applyReported(const FleetUpdate &update, TimePoint now);
    void removeMissing(const FleetUpdate &update);
    /// Removes the members for which \a condition is true of the instance and its row.
    template <typename Condition>
    void removeMembers(Condition condition);
    void enterEra(TimePoint now);
    void applyMarker(const FleetObject &object);
    void applyRecord(const std::string &service, const LeadershipRecord &record, StoreVersion version, TimePoint now);

    std::map<std::string, Record, std::less<>> recordRows; ///< by service
    std::map<std::string, Member, std::less<>> memberRows; ///< by instance
    std::map<std::string, Group, std::less<>> groupRows;   ///< by service
    StoreVersion knownVersion;
    StoreVersion lostMemberVersion;
    TimePoint viewedAt{0};        ///< the view reflects the store at this time or later
    StoreVersion reportedVersion; ///< of the last report of a member
    TimePoint eraFirstSeen{0};
    bool hasEarlierEra = false;
    std::uint64_t recoveredEra = 0; ///< that the marker object names
    std::uint64_t markerRevision = 0;
};

} // namespace Jujubekeel
