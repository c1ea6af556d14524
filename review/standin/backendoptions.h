#pragma once

#include "types.h"

#include <cstddef>
#include <cstdint>
#include <string>

namespace Review {

/// What the backends of a service have in common, with the figures of a small site's sheet.
struct BackendOptions
{
    std::string service = "records";
    std::size_t slots = 3;
    std::size_t queue = 24; ///< requests that wait for a slot; the next one gets BUSY
    std::size_t maxConnections = 21;
    Milliseconds handshake{12};
    Milliseconds readWork{24};
    Milliseconds lookupWork{40}; ///< of a read of an item whose name begins with 'l'
    Milliseconds writeWork{8};
    Milliseconds shipping{2};     ///< until a replica has received a commit
    Milliseconds applyLag{20};    ///< until it has applied it
    Milliseconds promotion{600};  ///< from the call to the new term
    bool waitsForReplica = false; ///< SyncReplicas is 1
};

} // namespace Review
