#pragma once

#include "core/time.h"

#include <cstddef>
#include <cstdint>
#include <optional>

namespace Jujubekeel {

/// Estimates how long work waits in a queue, from how fast the queue has been served since it was last empty. For
/// overloaded servers; says nothing about a queue that stands still. Owned by ServiceRow.
class WaitEstimate final
{
public:
    /// Work has left the queue for a server.
    void served(TimePoint now);
    void queueEmptied() { this->count = 0; }

    /// Expected wait of work behind \a before others; empty: too little has left the queue to tell.
    [[nodiscard]] std::optional<Duration> wait(std::size_t before) const;
    /// Whether work with this expected wait is not served within \a left.
    [[nodiscard]] static bool isHopeless(Duration wait, Duration left);

private:
    TimePoint servedAt{0};
    Duration interval{0};    ///< between two entries that were served, moving average
    std::uint32_t count = 0; ///< entries that were served since the queue was last empty
};

} // namespace Jujubekeel
