#include "observe/counters.h"

namespace Jujubekeel {

void Counters::add(std::string_view name, std::uint64_t amount)
{
    const auto found = this->values.find(name);
    if (found != this->values.end())
        found->second += amount;
    else
        this->values.emplace(name, amount);
}

void Counters::set(std::string_view name, std::uint64_t value)
{
    const auto found = this->values.find(name);
    if (found != this->values.end())
        found->second = value;
    else
        this->values.emplace(name, value);
}

std::uint64_t Counters::value(std::string_view name) const
{
    const auto found = this->values.find(name);
    return found == this->values.end() ? 0 : found->second;
}

} // namespace Jujubekeel
