#pragma once

#include "catalog/serverentry.h"
#include "pace/serverpace.h"
#include "pool/poolids.h"
#include "session/logposition.h"

#include <algorithm>
#include <cstdint>
#include <string>
#include <vector>

namespace Jujubekeel {

/// One backend server, or one member to which work is relayed. Written by DirectorySystem and RelaySystem (entry),
/// LinkSystem (connections), DispatchSystem and ResultSystem (load), PaceSystem (pace).
struct ServerRow
{
    ServerEntry entry;
    ServiceId service;
    bool isMember = false;      ///< another instance that takes relayed work, not a backend server
    TimePoint missingSince{0};  ///< since when the entry is missing; 0: it exists
    TimePoint drainingSince{0}; ///< 0: not draining

    std::vector<LinkId> links;
    std::uint32_t opening = 0; ///< links whose greeting has not been answered
    std::uint32_t running = 0; ///< statements and transactions of this instance in progress

    Duration responseTime = std::chrono::milliseconds(20); ///< of a statement, moving average
    LogPosition applied;                                   ///< highest log position that the server reported
    TimePoint lastAnswerAt{0};        ///< last message of the server, also in response to a greeting
    TimePoint awaitingAnswerSince{0}; ///< since when requests are outstanding without an answer; 0: none are
    TimePoint unreachableSince{0};    ///< first failed connect since the last answer; 0: none
    TimePoint connectionLostAt{0};    ///< last loss of a connection
    TimePoint retryAt{0};             ///< no connection is opened before
    Duration retryDelay{0};
    TimePoint reservedUntil{0}; ///< until then a free link is kept for a control command
    TimePoint refusedAt{0};     ///< a member refused work without letting it wait; 0: never
    TimePoint laggingUntil{0};  ///< until then not used for positions above `applied`
    Duration laggingPause{0};   ///< length of the last such pause

    ServerPace pace;          ///< of a backend server; used with PoolOptions::adaptivePacing
    TimePoint paceCheckAt{0}; ///< last time at which queued work is dispatched because `pace` refused some

    /// Time for which requests have been outstanding without any message of the server.
    [[nodiscard]] Duration silence(TimePoint now) const
    {
        return this->awaitingAnswerSince.count() == 0 ? Duration{0}
                                                      : now - std::max(this->awaitingAnswerSince, this->lastAnswerAt);
    }
};

} // namespace Jujubekeel
