#include "pool/feedrequest.h"

#include "catalog/boundedjson.h"

#include <nlohmann/json.hpp>

namespace Jujubekeel {

std::string FeedRequest::toText() const
{
    return nlohmann::json{{"routeVersion", this->routeVersion},
                          {"organisationVersion", this->organisationVersion},
                          {"announcedVersion", this->announcedVersion},
                          {"routeDigest", this->routeDigest},
                          {"organisationDigest", this->organisationDigest},
                          {"acceptsCompressed", this->acceptsCompressed},
                          {"wantsMembers", this->wantsMembers},
                          {"memberRevision", this->memberRevision},
                          {"memberEra", this->memberEra},
                          {"memberDigest", this->memberDigest}}
        .dump();
}

std::optional<FeedRequest> FeedRequest::fromText(std::string_view text)
{
    const auto parsed = parseBoundedJson(text);
    if (!parsed)
        return std::nullopt;
    try {
        const nlohmann::json &root = *parsed;
        return FeedRequest{.routeVersion = root.at("routeVersion").get<std::uint64_t>(),
                           .organisationVersion = root.value("organisationVersion", std::uint64_t{0}),
                           .announcedVersion = root.value("announcedVersion", std::uint64_t{0}),
                           .routeDigest = root.value("routeDigest", std::uint64_t{0}),
                           .organisationDigest = root.value("organisationDigest", std::uint64_t{0}),
                           .acceptsCompressed = root.value("acceptsCompressed", false),
                           .wantsMembers = root.value("wantsMembers", true),
                           .memberRevision = root.at("memberRevision").get<std::uint64_t>(),
                           .memberEra = root.value("memberEra", std::uint64_t{0}),
                           .memberDigest = root.at("memberDigest").get<std::uint64_t>()};
    } catch (const nlohmann::json::exception &) {
        return std::nullopt;
    }
}

} // namespace Jujubekeel
