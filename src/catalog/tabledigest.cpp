#include "catalog/tabledigest.h"

#include "catalog/routetable.h"
#include "organisations/organisationtable.h"

#include <algorithm>
#include <bit>
#include <string_view>

namespace Jujubekeel {

namespace {

/// FNV-1a, so that instances on different machines have the same result.
class ContentHash final
{
public:
    void add(std::string_view text)
    {
        for (const char letter : text)
            this->addByte(static_cast<unsigned char>(letter));
        this->addNumber(text.size());
    }
    void addNumber(std::uint64_t value)
    {
        for (unsigned shift = 0; shift < 64; shift += 8)
            this->addByte(static_cast<unsigned char>(value >> shift));
    }
    [[nodiscard]] std::uint64_t value() const { return std::max<std::uint64_t>(this->state, 1); }

private:
    void addByte(unsigned char byte) { this->state = (this->state ^ byte) * 1099511628211U; }

    std::uint64_t state = 14695981039346656037U;
};

} // namespace

std::uint64_t digestOf(const RouteTable &table)
{
    ContentHash hash;
    hash.addNumber(static_cast<std::uint64_t>(table.transactionIdleLimit().count()));
    hash.addNumber(table.allServices().size());
    for (const auto &[name, limits] : table.allServices()) {
        hash.add(name);
        hash.addNumber(limits.maxConnections);
        hash.addNumber(limits.syncReplicas);
    }
    for (const auto &[database, route] : table.allRoutes()) {
        hash.add(database);
        hash.add(route->name);
        hash.add(route->service);
        hash.addNumber(static_cast<std::uint64_t>(route->consistency));
        hash.addNumber(static_cast<std::uint64_t>(route->maxStaleness.count()));
        hash.addNumber(static_cast<std::uint64_t>(route->statementTimeout.count()));
        hash.addNumber(static_cast<std::uint64_t>(route->latencyObjective.count()));
        hash.addNumber(route->priority);
        hash.addNumber(route->isPublic ? 1 : 0);
    }
    return hash.value();
}

std::uint64_t digestOf(const OrganisationTable &table)
{
    // A sum, because the keys have no order.
    std::uint64_t keys = 0;
    for (const auto &[key, organisation] : table.allKeys()) {
        if (!organisation)
            continue;
        ContentHash entry;
        entry.add(key.toBytes());
        entry.add(organisation->name);
        keys += entry.value();
    }
    ContentHash hash;
    hash.addNumber(keys);
    for (const auto &[name, organisation] : table.all()) {
        hash.add(name);
        hash.addNumber(organisation->priority);
        hash.addNumber(organisation->limit ? 1 : 0);
        if (organisation->limit) {
            hash.addNumber(std::bit_cast<std::uint64_t>(organisation->limit->operationsPerSecond));
            hash.addNumber(std::bit_cast<std::uint64_t>(organisation->limit->burst));
        }
    }
    return hash.value();
}

} // namespace Jujubekeel
