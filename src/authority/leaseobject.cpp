#include "authority/leaseobject.h"

#include <sstream>

namespace Jujubekeel {

std::string leaseKey(std::string_view database)
{
    return "leases/" + std::string(database);
}

std::string formatLease(const LeaseRecord &record)
{
    return std::to_string(record.term) + ' ' + record.holder + ' ' + std::to_string(record.incarnation) + ' '
           + std::to_string(record.sequence);
}

std::optional<LeaseRecord> parseLease(std::string_view text)
{
    std::istringstream stream{std::string(text)};
    LeaseRecord record;
    if (stream >> record.term >> record.holder >> record.incarnation >> record.sequence)
        return record;
    return std::nullopt;
}

} // namespace Jujubekeel
