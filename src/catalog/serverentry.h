#pragma once

#include <cstdint>
#include <string>

namespace Jujubekeel {

/// Entry of a backend server in the platform's store, as last written by the server.
struct ServerEntry
{
    std::string id;
    std::string service;
    std::string address; ///< "ip:port"; may be reused by another server after this one has ended
    std::string failureDomain;
    std::uint32_t slots = 1; ///< statements that the server can run concurrently
    bool draining = false;
    bool claimsPrimary = false;    ///< the server reports to be primary; a LeadershipRecord takes precedence
    std::uint64_t incarnation = 0; ///< identifies the process; differs after a restart under the same id
};

} // namespace Jujubekeel
