#pragma once

#include "core/id.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Jujubekeel {

/// Last promotion claim of one database.
struct PromotionRecord
{
    std::string database;
    std::uint64_t term = 0;
    std::string promoter;          ///< instance that claimed the term
    std::uint64_t incarnation = 0; ///< of the promoter
    std::uint64_t sequence = 0;    ///< of its update; identifies an own update together with promoter and incarnation

    bool operator==(const PromotionRecord &) const = default;
};

/// The platform's object `promotions/<shard>`, one line for each database of the shard in order of the first claim:
/// `DATABASE TERM PROMOTER INCARNATION SEQUENCE`. A value type.
class PromotionsObject final
{
public:
    PromotionsObject() = default;
    /// Lines that do not have that form are ignored.
    explicit PromotionsObject(std::string_view text);

    [[nodiscard]] std::optional<PromotionRecord> find(std::string_view database) const;
    /// Replaces the record of the same database.
    void set(PromotionRecord record);
    [[nodiscard]] std::string text() const;

    /// Key of the object that holds a database's record. \a shardSize must not be 0.
    [[nodiscard]] static std::string key(DatabaseId database, std::uint32_t shardSize);

private:
    std::vector<PromotionRecord> records;
};

} // namespace Jujubekeel
