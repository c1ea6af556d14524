#pragma once

#include "pool/changehistory.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <string>

namespace Jujubekeel {

class OrganisationTable;
class RouteTable;
struct FeedRequest;
struct PoolWorld;

/// Tables of the configuration in the form in which a member reports them: differences from a version that the
/// subscriber knows, if it is among the last ones, or else the whole tables. Each text is made once for all subscribers
/// of the same version. Load: a configuration of 250 KB that changes several times within seconds, with ten subscribers
/// at each member, whose link carries 10 Mbit/s. Owned by FeedPublisher.
class FeedHistory final
{
public:
    explicit FeedHistory(PoolWorld &poolWorld) : world(poolWorld) {}

    /// Records what differs from the tables that were in force at the last call. Called before tables are reported.
    void update();

    /// Which of the tables in force a report contains.
    struct Wanted
    {
        bool routes = false;
        bool organisations = false;
    };
    /// FeedUpdate::tablesText() of the tables in force for a subscriber. \a limit: bytes before compression.
    [[nodiscard]] std::string tablesText(const FeedRequest &known, Wanted wanted, std::size_t limit);

private:
    /// What a text depends on while the tables in force stay the same.
    struct TextKey
    {
        std::uint64_t routeBase = 0;        ///< of the difference; 0: the whole table
        std::uint64_t organisationBase = 0; ///< the same
        bool routes = false;
        bool organisations = false;
        bool compressed = false;
        std::size_t limit = 0;
        auto operator<=>(const TextKey &) const = default;
    };

    [[nodiscard]] TextKey keyFor(const FeedRequest &known, Wanted wanted, std::size_t limit) const;
    [[nodiscard]] std::string makeText(const FeedRequest &known, const TextKey &key);

    PoolWorld &world;
    std::shared_ptr<const RouteTable> routes; ///< in force at the last update()
    std::uint64_t routesDigest = 0;
    std::shared_ptr<const OrganisationTable> organisations; ///< the same
    std::uint64_t organisationsDigest = 0;
    ChangeHistory routeHistory;
    ChangeHistory organisationHistory;
    std::map<TextKey, std::string> texts; ///< made for the tables in force
};

} // namespace Jujubekeel
