#include "leadership/memberrecord.h"

#include "catalog/boundedjson.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace Jujubekeel {

namespace {

constexpr auto lastMemberState = static_cast<std::uint32_t>(MemberState::Leaving);

} // namespace

std::string MemberRecord::toText() const
{
    auto reachable = nlohmann::json::object();
    for (const auto &[service, view] : this->views)
        reachable[service] = view == PrimaryView::Reachable;
    auto seenPositions = nlohmann::json::object();
    for (const auto &[service, position] : this->seen)
        seenPositions[service] = {position.term, position.position};
    auto knownFrom = nlohmann::json::array();
    if (this->knownSince)
        knownFrom = {this->knownSince->era, this->knownSince->revision};
    return nlohmann::json{{"knownSince", knownFrom},
                          {"incarnation", this->incarnation},
                          {"era", this->era},
                          {"renewals", this->renewals},
                          {"relayAddress", this->relayAddress},
                          {"domain", this->failureDomain},
                          {"state", static_cast<std::uint32_t>(this->state)},
                          {"reachable", reachable},
                          {"released", this->released},
                          {"seen", seenPositions}}
        .dump();
}

std::optional<MemberRecord> MemberRecord::fromText(std::string_view text)
{
    const auto parsed = parseBoundedJson(text);
    if (!parsed)
        return std::nullopt;
    try {
        const nlohmann::json &root = *parsed;
        MemberRecord record{.incarnation = root.at("incarnation").get<std::uint64_t>(),
                            .relayAddress = root.value("relayAddress", std::string()),
                            .failureDomain = root.value("domain", std::string()),
                            .state = static_cast<MemberState>(std::min(root.value("state", 0U), lastMemberState)),
                            .era = root.value("era", std::uint64_t{0}),
                            .renewals = root.at("renewals").get<std::uint64_t>()};
        for (const auto &[service, reachable] : root.at("reachable").items())
            record.views[service] = reachable.get<bool>() ? PrimaryView::Reachable : PrimaryView::Unreachable;
        for (const auto &[service, epoch] : root.at("released").items())
            record.released[service] = epoch.get<std::uint64_t>();
        // Earlier versions write none of these.
        const nlohmann::json knownFrom = root.value("knownSince", nlohmann::json::array());
        if (!knownFrom.empty())
            record.knownSince = StoreVersion{.era = knownFrom.at(0).get<std::uint64_t>(),
                                             .revision = knownFrom.at(1).get<std::uint64_t>()};
        const nlohmann::json seen = root.value("seen", nlohmann::json::object());
        for (const auto &[service, position] : seen.items())
            record.seen[service] = LogPosition{.term = position.at(0).get<std::uint64_t>(),
                                               .position = position.at(1).get<std::uint64_t>()};
        return record;
    } catch (const nlohmann::json::exception &) {
        return std::nullopt;
    }
}

} // namespace Jujubekeel
