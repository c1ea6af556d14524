#include "leadership/leadershiprecord.h"

#include "catalog/boundedjson.h"

#include <nlohmann/json.hpp>

#include <tuple>

namespace Jujubekeel {

bool LeadershipRecord::isLaterThan(const LeadershipRecord &other) const
{
    const auto progress = [](const LeadershipRecord &record) {
        return std::tuple(record.epoch, !record.changing, record.declared);
    };
    return progress(*this) > progress(other);
}

std::string LeadershipRecord::toText() const
{
    auto since = nlohmann::json::array();
    if (this->primarySince)
        since = {this->primarySince->era, this->primarySince->revision};
    return nlohmann::json{{"primarySince", since},        {"epoch", this->epoch},         {"term", this->term},
                          {"primary", this->primary},     {"changing", this->changing},   {"planned", this->planned},
                          {"holder", this->holder},       {"candidate", this->candidate}, {"declared", this->declared},
                          {"termAbove", this->termAbove}, {"abandoned", this->abandoned}, {"era", this->era}}
        .dump();
}

std::optional<LeadershipRecord> LeadershipRecord::fromText(std::string_view text)
{
    const auto parsed = parseBoundedJson(text);
    if (!parsed)
        return std::nullopt;
    try {
        const nlohmann::json &root = *parsed;
        const auto candidate = root.at("candidate").get<std::string>();
        // Earlier versions do not write it.
        const nlohmann::json since = root.value("primarySince", nlohmann::json::array());
        std::optional<StoreVersion> primarySince;
        if (!since.empty())
            primarySince =
                StoreVersion{.era = since.at(0).get<std::uint64_t>(), .revision = since.at(1).get<std::uint64_t>()};
        return LeadershipRecord{.epoch = root.at("epoch").get<std::uint64_t>(),
                                .era = root.value("era", std::uint64_t{0}),
                                .term = root.at("term").get<std::uint64_t>(),
                                .primary = root.at("primary").get<std::string>(),
                                .primarySince = primarySince,
                                .changing = root.at("changing").get<bool>(),
                                .planned = root.at("planned").get<bool>(),
                                .candidate = candidate,
                                // Earlier versions do not write it; there each candidate may be in use.
                                .declared = root.value("declared", !candidate.empty()),
                                .termAbove = root.at("termAbove").get<std::uint64_t>(),
                                .abandoned = root.value("abandoned", false),
                                .holder = root.at("holder").get<std::string>()};
    } catch (const nlohmann::json::exception &) {
        return std::nullopt;
    }
}

} // namespace Jujubekeel
