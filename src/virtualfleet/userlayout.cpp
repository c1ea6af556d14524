#include "virtualfleet/userlayout.h"

#include <array>
#include <utility>

namespace Jujubekeel {

namespace {

constexpr std::size_t domainCount = 3;
constexpr std::uint32_t databaseCount = 3;

/// Names and limits that differ between the layouts of the users.
struct LayoutNames
{
    std::string_view user;
    std::array<std::string_view, domainCount> domains;
    std::string_view database;
    std::string_view backend;
    std::uint32_t slots;
    std::uint32_t connectionLimit;
};

FleetLayout makeLayout(const LayoutNames &names)
{
    FleetLayout layout;
    layout.user = names.user;

    // Two instances in each failure domain.
    for (const std::string_view domain : names.domains) {
        for (int number = 1; number <= 2; ++number) {
            const std::string place = std::to_string(layout.instances.size() + 1);
            layout.instances.push_back(InstanceSettings{.name = std::string(domain) + "-" + std::to_string(number),
                                                        .failureDomain = std::string(domain),
                                                        .callerAddress = "127.0.0." + place + ":7001",
                                                        .peerAddress = "127.0.0." + place + ":7002",
                                                        .operatorAddress = "127.0.0." + place + ":7003"});
        }
    }

    // One backend server of each database in each failure domain.
    for (std::uint32_t database = 0; database < databaseCount; ++database) {
        DatabaseSettings settings{.name = std::string(names.database) + "-" + std::to_string(database + 1),
                                  .backends = {}};
        for (std::size_t place = 0; place < domainCount; ++place) {
            const auto index = static_cast<std::uint32_t>(layout.backends.size());
            settings.backends.push_back(BackendId{.index = index, .generation = 0});
            layout.backends.push_back(BackendSettings{.name = std::string(names.backend) + std::to_string(database + 1)
                                                              + "-" + static_cast<char>('a' + static_cast<int>(place)),
                                                      .database = DatabaseId{.index = database, .generation = 0},
                                                      .failureDomain = std::string(names.domains[place]),
                                                      .address = "127.0.1." + std::to_string(index + 1) + ":7100",
                                                      .slots = names.slots,
                                                      .connectionLimit = names.connectionLimit});
        }
        layout.databases.push_back(std::move(settings));
    }
    return layout;
}

} // namespace

UserProfile makeUserProfile(FleetUser user)
{
    UserProfile profile;
    profile.acceptedAge = std::chrono::seconds(30);
    profile.shortAcceptedAge = std::chrono::seconds(2);
    if (user == FleetUser::Association) {
        profile.layout = makeLayout({.user = "association",
                                     .domains = {"pos-central", "sando-main", "arima-town"},
                                     .database = "stall-records",
                                     .backend = "sr",
                                     .slots = 3,
                                     .connectionLimit = 20});
        profile.writePercent = 50;
        profile.noRepeatWrite = "filing.create";
        profile.plainWrite = "note.add";
        profile.agedRead = "lookup.list";
        profile.shortAgedRead = "recent.list";
        profile.plainRead = "filing.show";
        profile.rulesWithoutReadAge =
            "no-repeat stall-records-* filing.* # Keith Joseph: ministry flags doubled filings\n";
        profile.rules = "read-age stall-records-* lookup.* 30s # Anjali Mohammed, San Fernando: lists may be old\n"
                        "read-age stall-records-* recent.* 2s # Anjali Mohammed, San Fernando: today's queue\n"
                        + profile.rulesWithoutReadAge;
        return profile;
    }
    profile.layout = makeLayout({.user = "hjolasmidja",
                                 .domains = {"hofudborg-a", "nordurland-a", "austurland-a"},
                                 .database = "pantanagrunnur",
                                 .backend = "pg",
                                 .slots = 2,
                                 .connectionLimit = 30});
    profile.writePercent = 10;
    profile.noRepeatWrite = "booking.create";
    profile.plainWrite = "step.done";
    profile.agedRead = "lookup.stock";
    profile.shortAgedRead = "recent.orders";
    profile.plainRead = "booking.show";
    profile.rulesWithoutReadAge = "no-repeat pantanagrunnur-* booking.* # order desk: rims are taken from stock once\n";
    profile.rules = "read-age pantanagrunnur-* lookup.* 30s # order desk: stock lists may be half a minute old\n"
                    "read-age pantanagrunnur-* recent.* 2s # order desk: open orders\n"
                    + profile.rulesWithoutReadAge;
    return profile;
}

std::string_view fleetUserName(FleetUser user)
{
    return user == FleetUser::Association ? "association" : "hjolasmidja";
}

} // namespace Jujubekeel
