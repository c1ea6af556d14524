#include "pool/preparednames.h"

#include "pool/sessionrow.h"

namespace Jujubekeel {

std::string PreparedNames::find(const PreparedStatement &statement) const
{
    const auto found = this->names.find(std::pair(statement.writes, statement.text));
    return found == this->names.end() ? std::string() : found->second;
}

std::string PreparedNames::add(const PreparedStatement &statement)
{
    this->lastNumber += 1;
    std::string name = "p" + std::to_string(this->lastNumber);
    this->names.insert_or_assign(std::pair(statement.writes, statement.text), name);
    this->bytes += statement.text.size();
    return name;
}

void PreparedNames::clear()
{
    this->names.clear();
    this->bytes = 0;
}

} // namespace Jujubekeel
