#pragma once

#include "organisations/keydigest.h"
#include "organisations/organisation.h"

#include <cstdint>
#include <map>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>

namespace Jujubekeel {

/// The organisations of one configuration version and the digests of their keys. Immutable once built; shared by the
/// route table of the same version, by PoolWorld and by the sessions.
class OrganisationTable final
{
public:
    explicit OrganisationTable(std::uint64_t version = 0) : tableVersion(version) {}

    /// Adds an organisation with its keys. Returns false, without a change, if its name is taken. A key that two
    /// organisations hold identifies neither, because work in the name of the wrong one must not run.
    bool add(Organisation organisation, std::span<const KeyDigest> keys);

    /// The organisation that holds a key; null if there is none.
    [[nodiscard]] std::shared_ptr<const Organisation> findByKey(const KeyDigest &key) const;
    /// Null if the name is unknown.
    [[nodiscard]] std::shared_ptr<const Organisation> findByName(std::string_view name) const;

    [[nodiscard]] std::uint64_t version() const { return this->tableVersion; }
    /// Sum of the rate limits, in operations per second; organisations without a limit do not count.
    [[nodiscard]] double totalRate() const { return this->rateSum; }
    [[nodiscard]] std::size_t size() const { return this->byName.size(); }
    /// Keys that more than one organisation holds.
    [[nodiscard]] std::size_t ambiguousKeys() const { return this->ambiguousCount; }
    [[nodiscard]] const std::map<std::string, std::shared_ptr<const Organisation>, std::less<>> &all() const
    {
        return this->byName;
    }
    /// Organisations by the digest of each key; null for a key that two organisations hold.
    [[nodiscard]] const auto &allKeys() const { return this->byKey; }

private:
    std::uint64_t tableVersion;
    std::map<std::string, std::shared_ptr<const Organisation>, std::less<>> byName;
    std::unordered_map<KeyDigest, std::shared_ptr<const Organisation>, KeyDigest::Hash> byKey;
    std::size_t ambiguousCount = 0;
    double rateSum = 0;
};

} // namespace Jujubekeel
