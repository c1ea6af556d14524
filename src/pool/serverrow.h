#pragma once

#include "catalog/serverentry.h"
#include "pool/poolids.h"
#include "session/logposition.h"

#include <algorithm>
#include <cstdint>
#include <string>
#include <vector>

namespace Jujubekeel {

/// One backend server as this instance knows it. Written by DirectorySystem (entry), LinkSystem (connections) and
/// DispatchSystem (load).
struct ServerRow
{
    ServerEntry entry;
    ServiceId service;
    bool isMember = false;      ///< an instance that takes relayed work, not a backend server
    TimePoint missingSince{0};  ///< the entry is away, the server may live; 0: it is there
    TimePoint drainingSince{0}; ///< 0: not draining

    std::vector<LinkId> links;
    std::uint32_t opening = 0; ///< links that are not greeted yet
    std::uint32_t running = 0; ///< statements of this instance under way

    Duration responseTime = std::chrono::milliseconds(20); ///< moving average of a statement
    LogPosition applied;                                   ///< highest position that the server reported
    TimePoint lastAnswerAt{0};                             ///< of anything, greetings included
    TimePoint awaitingAnswerSince{
        0};                        ///< start of the oldest time without an answer while work was outstanding; 0: none
    TimePoint unreachableSince{0}; ///< first failed connect since the last answer; 0: none
    TimePoint connectionLostAt{0}; ///< a connection was lost last
    TimePoint retryAt{0};          ///< no new connection before
    Duration retryDelay{0};
    TimePoint laggingUntil{0}; ///< passed over for positions that it is not known to hold
    Duration laggingPause{0};

    /// Time for which the server has answered nothing though it was asked.
    [[nodiscard]] Duration silence(TimePoint now) const
    {
        return this->awaitingAnswerSince.count() == 0 ? Duration{0}
                                                      : now - std::max(this->awaitingAnswerSince, this->lastAnswerAt);
    }
};

} // namespace Jujubekeel
