#include "pool/feedhistory.h"

#include "pool/feedrequest.h"
#include "pool/feedupdate.h"
#include "pool/poolworld.h"

#include <string_view>
#include <utility>

namespace Jujubekeel {

namespace {

/// Texts that are kept at a time. Subscribers know one of the last two versions, with and without the organisations.
constexpr std::size_t maxTexts = 4;

ChangeHistory::Version routesOf(const FeedRequest &known)
{
    return {.number = known.routeVersion, .digest = known.routeDigest};
}

ChangeHistory::Version organisationsOf(const FeedRequest &known)
{
    return {.number = known.organisationVersion, .digest = known.organisationDigest};
}

} // namespace

void FeedHistory::update()
{
    const PoolOptions &options = this->world.options;
    if (this->routes == this->world.routes && this->organisations == this->world.organisations)
        return;
    this->texts.clear();
    if (this->routes && this->routes != this->world.routes)
        this->routeHistory.add({.number = this->routes->version(), .digest = this->routesDigest},
                               TableChanges::between(*this->routes, *this->world.routes), options.feedHistoryVersions,
                               options.feedHistoryBytes);
    if (this->organisations && this->organisations != this->world.organisations)
        this->organisationHistory.add({.number = this->organisations->version(), .digest = this->organisationsDigest},
                                      TableChanges::between(*this->organisations, *this->world.organisations),
                                      options.feedHistoryVersions, options.feedHistoryBytes);
    this->routes = this->world.routes;
    this->routesDigest = this->world.routesDigest;
    this->organisations = this->world.organisations;
    this->organisationsDigest = this->world.organisationsDigest;
}

std::string FeedHistory::tablesText(const FeedRequest &known, Wanted wanted, std::size_t limit)
{
    if (!wanted.routes && !wanted.organisations)
        return {};
    const TextKey key = this->keyFor(known, wanted, limit);
    const auto found = this->texts.find(key);
    if (found != this->texts.end())
        return found->second;
    if (this->texts.size() >= maxTexts)
        this->texts.clear();
    std::string text = this->makeText(known, key);
    this->texts.emplace(key, text);
    return text;
}

FeedHistory::TextKey FeedHistory::keyFor(const FeedRequest &known, Wanted wanted, std::size_t limit) const
{
    TextKey key{.routes = wanted.routes,
                .organisations = wanted.organisations,
                .compressed = known.acceptsCompressed,
                .limit = limit};
    if (wanted.organisations && this->organisationHistory.contains(organisationsOf(known)))
        key.organisationBase = known.organisationVersion;
    // A difference does not contain the organisations, so that routes must not come into force by it at an instance that
    // lacks the organisations of their version: keys that they withdraw would stay valid.
    const std::uint64_t version = this->organisations ? this->organisations->version() : 0;
    const bool hasOrganisations =
        version == 0 ? known.organisationVersion == 0 : wanted.organisations || known.organisationVersion >= version;
    if (wanted.routes && hasOrganisations && this->routeHistory.contains(routesOf(known)))
        key.routeBase = known.routeVersion;
    // The whole routes contain the organisations.
    if (wanted.routes && key.routeBase == 0)
        key.organisationBase = 0;
    return key;
}

std::string FeedHistory::makeText(const FeedRequest &known, const TextKey &key)
{
    FeedUpdate update;
    const auto routeChanges = key.routeBase != 0 ? this->routeHistory.since(routesOf(known)) : std::nullopt;
    const auto organisationChanges =
        key.organisationBase != 0 ? this->organisationHistory.since(organisationsOf(known)) : std::nullopt;
    // Names of removed entries may take more than the entries that are left.
    if (routeChanges && routeChanges->count() <= this->routes->size() + this->routes->allServices().size())
        update.routeDifference = std::make_shared<const RouteDifference>(
            RouteDifference::make(key.routeBase, *routeChanges, *this->routes, this->routesDigest));
    else if (key.routes)
        update.routes = this->routes;

    if (key.organisations && !(update.routes && update.routes->organisations() == this->organisations)) {
        const std::size_t entries = this->organisations->size() + this->organisations->allKeys().size();
        if (organisationChanges && !update.routes && organisationChanges->count() <= entries)
            update.organisationDifference = std::make_shared<const OrganisationDifference>(OrganisationDifference::make(
                key.organisationBase, *organisationChanges, *this->organisations, this->organisationsDigest));
        else
            update.organisations = this->organisations;
    }
    std::string text = update.tablesText(key.limit, key.compressed);
    const bool isWhole = update.routes || update.organisations;
    const std::string_view content = text.empty() ? "omitted" : isWhole ? "whole" : "difference";
    this->world.counters.add("jujubekeel_pool_feed_tables_total{content=\"" + std::string(content) + "\"}");
    return text;
}

} // namespace Jujubekeel
