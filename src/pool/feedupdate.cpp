#include "pool/feedupdate.h"

#include "catalog/boundedjson.h"
#include "catalog/differencejson.h"
#include "catalog/organisationjson.h"
#include "catalog/routejson.h"
#include "core/compressedtext.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace Jujubekeel {

namespace {

using Json = nlohmann::json;

/// Longest text into which a compressed report may expand, in bytes. No publisher sends more, because its limit holds
/// for the text before compression.
constexpr std::size_t maxTablesBytes = std::size_t{1024} * 1024;
/// Shorter texts, in bytes, are not compressed: it would save less than one network packet.
constexpr std::size_t minCompressedBytes = 1024;

std::string dump(const Json &value)
{
    return value.dump(-1, ' ', false, Json::error_handler_t::replace);
}

/// Adds a member to the text of a JSON object.
void addMember(std::string &text, const char *name, const Json &value)
{
    text += ",\"";
    text += name;
    text += "\":";
    text += dump(value);
}

/// Throws as Json::at() does.
void readTables(FeedUpdate &update, const Json &root)
{
    if (root.contains("routes"))
        update.routes = routeTableFromJson(root.at("routes"));
    if (root.contains("organisations"))
        update.organisations = organisationTableFromJson(root.at("organisations"));
    if (root.contains("routeDifference"))
        update.routeDifference =
            std::make_shared<const RouteDifference>(routeDifferenceFromJson(root.at("routeDifference")));
    if (root.contains("organisationDifference"))
        update.organisationDifference = std::make_shared<const OrganisationDifference>(
            organisationDifferenceFromJson(root.at("organisationDifference")));
}

/// The tables of a compressed report; empty if they are damaged or too large.
std::optional<Json> readCompressed(const Json &compressed)
{
    const auto size = compressed.at("size").get<std::uint64_t>();
    if (size > maxTablesBytes)
        return std::nullopt;
    const auto text = decompressText(compressed.at("zlib").get_ref<const std::string &>(), size);
    return text ? parseBoundedJson(*text) : std::nullopt;
}

} // namespace

std::string FeedUpdate::toText(std::size_t limit) const
{
    const std::size_t headSize = this->toTextWith({}).size();
    return this->toTextWith(this->tablesText(limit - std::min(limit, headSize), false));
}

std::string FeedUpdate::toTextWith(std::string_view tables) const
{
    Json root{{"verifiedAfterUs", this->verifiedAfter.count()},
              {"routeVersion", this->routeVersion},
              {"organisationVersion", this->organisationVersion},
              {"memberRevision", this->memberRevision},
              {"memberEra", this->memberEra}};
    if (this->members) {
        auto listed = Json::array();
        for (const FleetObject &object : *this->members)
            listed.push_back({{"name", object.name}, {"revision", object.revision}, {"content", object.content}});
        root["members"] = std::move(listed);
    }
    std::string text = dump(root);
    text.insert(text.size() - 1, tables);
    return text;
}

std::string FeedUpdate::tablesText(std::size_t limit, bool compressed) const
{
    std::string organisationsText;
    if (this->organisations)
        addMember(organisationsText, "organisations", toJson(*this->organisations));
    else if (this->organisationDifference)
        addMember(organisationsText, "organisationDifference", toJson(*this->organisationDifference));
    std::string text = organisationsText;
    if (this->routes)
        addMember(text, "routes", toJson(*this->routes));
    else if (this->routeDifference)
        addMember(text, "routeDifference", toJson(*this->routeDifference));

    if (text.size() > limit) {
        if (organisationsText.empty() && this->routes && this->routes->organisations())
            addMember(organisationsText, "organisations", toJson(*this->routes->organisations()));
        text = organisationsText.size() <= limit ? std::move(organisationsText) : std::string();
    }
    if (!compressed || text.size() < minCompressedBytes)
        return text;
    // The first comma gives way to the brace that makes it an object.
    std::string object = text + '}';
    object.front() = '{';
    std::string shorter;
    addMember(shorter, "compressed", {{"size", object.size()}, {"zlib", compressText(object)}});
    return shorter.size() < text.size() ? shorter : text;
}

std::optional<FeedUpdate> FeedUpdate::fromText(std::string_view text)
{
    const auto parsed = parseBoundedJson(text);
    if (!parsed)
        return std::nullopt;
    try {
        const Json &root = *parsed;
        FeedUpdate update{.verifiedAfter = Duration(root.at("verifiedAfterUs").get<std::int64_t>()),
                          .routeVersion = root.at("routeVersion").get<std::uint64_t>(),
                          .organisationVersion = root.value("organisationVersion", std::uint64_t{0}),
                          .memberRevision = root.at("memberRevision").get<std::uint64_t>(),
                          .memberEra = root.value("memberEra", std::uint64_t{0})};
        readTables(update, root);
        if (root.contains("compressed")) {
            const auto tables = readCompressed(root.at("compressed"));
            if (!tables)
                return std::nullopt;
            readTables(update, *tables);
        }
        if (!root.contains("members"))
            return update;
        update.members.emplace();
        for (const auto &object : root.at("members"))
            update.members->push_back(FleetObject{.name = object.at("name").get<std::string>(),
                                                  .revision = object.at("revision").get<std::uint64_t>(),
                                                  .content = object.at("content").get<std::string>()});
        return update;
    } catch (const Json::exception &) {
        return std::nullopt;
    }
}

} // namespace Jujubekeel
