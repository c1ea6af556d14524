#include "authority/promotionsobject.h"

#include <algorithm>
#include <cassert>
#include <sstream>
#include <utility>

namespace Jujubekeel {

PromotionsObject::PromotionsObject(std::string_view text)
{
    std::istringstream lines{std::string(text)};
    std::string line;
    while (std::getline(lines, line)) {
        std::istringstream fields{line};
        PromotionRecord record;
        if (fields >> record.database >> record.term >> record.promoter >> record.incarnation >> record.sequence)
            this->set(std::move(record));
    }
}

std::optional<PromotionRecord> PromotionsObject::find(std::string_view database) const
{
    const auto found = std::ranges::find(this->records, database, &PromotionRecord::database);
    if (found == this->records.end())
        return std::nullopt;
    return *found;
}

void PromotionsObject::set(PromotionRecord record)
{
    const auto found = std::ranges::find(this->records, record.database, &PromotionRecord::database);
    if (found == this->records.end())
        this->records.push_back(std::move(record));
    else
        *found = std::move(record);
}

std::string PromotionsObject::text() const
{
    std::string result;
    for (const PromotionRecord &record : this->records) {
        result += record.database + ' ' + std::to_string(record.term) + ' ' + record.promoter + ' '
                  + std::to_string(record.incarnation) + ' ' + std::to_string(record.sequence) + '\n';
    }
    return result;
}

std::string PromotionsObject::key(DatabaseId database, std::uint32_t shardSize)
{
    assert(shardSize != 0);
    return "promotions/" + std::to_string(database.index / shardSize);
}

} // namespace Jujubekeel
