#include "pool/feedrequest.h"

#include <nlohmann/json.hpp>

namespace Jujubekeel {

std::string FeedRequest::toText() const
{
    return nlohmann::json{{"routeVersion", this->routeVersion},
                          {"memberRevision", this->memberRevision},
                          {"memberDigest", this->memberDigest}}
        .dump();
}

std::optional<FeedRequest> FeedRequest::fromText(std::string_view text)
{
    try {
        const auto root = nlohmann::json::parse(text.begin(), text.end());
        return FeedRequest{.routeVersion = root.at("routeVersion").get<std::uint64_t>(),
                           .memberRevision = root.at("memberRevision").get<std::uint64_t>(),
                           .memberDigest = root.at("memberDigest").get<std::uint64_t>()};
    } catch (const nlohmann::json::exception &) {
        return std::nullopt;
    }
}

} // namespace Jujubekeel
