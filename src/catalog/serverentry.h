#pragma once

#include <cstdint>
#include <string>

namespace Jujubekeel {

/// What a backend server last said of itself, as kept by the platform's store.
struct ServerEntry
{
    std::string id;
    std::string service;
    std::string address; ///< "ip:port"; may be used again by another server once this one is gone
    std::string failureDomain;
    std::uint32_t slots = 1; ///< statements that run at one time
    bool draining = false;
    bool claimsPrimary = false;    ///< the server's own view; the authority record goes before it
    std::uint64_t incarnation = 0; ///< start of the process; differs after a restart under the same id
};

} // namespace Jujubekeel
