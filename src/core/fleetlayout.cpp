#include "core/fleetlayout.h"

namespace Jujubekeel {

namespace {

template <typename IdType, typename Rows>
IdType findByName(const Rows &rows, std::string_view name)
{
    for (std::uint32_t index = 0; index < rows.size(); ++index) {
        if (rows[index].name == name)
            return IdType{.index = index, .generation = 0};
    }
    return IdType{};
}

} // namespace

InstanceId FleetLayout::findInstance(std::string_view name) const
{
    return findByName<InstanceId>(this->instances, name);
}

DatabaseId FleetLayout::findDatabase(std::string_view name) const
{
    return findByName<DatabaseId>(this->databases, name);
}

BackendId FleetLayout::findBackend(std::string_view name) const
{
    return findByName<BackendId>(this->backends, name);
}

} // namespace Jujubekeel
