#pragma once

#include "core/time.h"
#include "pace/latencybaselines.h"
#include "pace/serverpaceoptions.h"

#include <cstdint>

namespace Jujubekeel {

/// End of a statement as seen by ServerPace.
enum class PaceOutcome : std::uint8_t {
    Succeeded,
    SucceededUntimed, ///< success of a write or commit, whose duration includes replication
    Rejected,         ///< not run because the server has too much work
    Failed,           ///< error of the server, lost connection or time-out
    Ignored,          ///< says nothing about the server, such as a caller's error
};

/// Decides how many statements one member may have in flight at one backend server, from the answers alone. The window
/// grows while answers are about as fast as the best ones and shrinks on rejections, failures and slow answers. After a
/// run of failures the server is suspended: it gets single trial statements until one succeeds. Each call takes
/// constant time. Owned by the server's row; has no clock of its own.
class ServerPace final
{
public:
    ServerPace() : ServerPace(ServerPaceOptions{}) {}
    explicit ServerPace(ServerPaceOptions paceOptions);

    /// Whether a statement may be sent now. At a suspended server only a trial is allowed. \a handshakes are in progress,
    /// and take a slot each.
    [[nodiscard]] bool allows(TimePoint now, std::uint32_t handshakes = 0) const;
    /// The same for work that no other server can run: a suspended server gets one statement at a time beside trials.
    [[nodiscard]] bool allowsLastResort(TimePoint now, std::uint32_t handshakes = 0) const;
    /// Whether the server is suspended and the next statement to it would be a trial.
    [[nodiscard]] bool isTrialDue(TimePoint now) const { return this->suspended && now >= this->trialAt; }
    [[nodiscard]] bool isSuspended() const { return this->suspended; }
    /// When a statement that is refused now may be allowed, if none ends until then; \a now if only an end changes that.
    [[nodiscard]] TimePoint allowedAt(TimePoint now, bool lastResort) const;

    void started(TimePoint now);
    /// \a took is counted from started(), also for statements that failed. Durations are compared with those of the
    /// same \a kind of statement only.
    void finished(PaceOutcome outcome, Duration took, TimePoint now, Duration kind = Duration{0});
    /// The server restarted. Statements in flight stay counted until they end.
    void reset(TimePoint now);

    [[nodiscard]] TimePoint suspendedSince() const { return this->suspendedAt; }
    [[nodiscard]] std::uint32_t window() const { return this->limit; }
    [[nodiscard]] std::uint32_t inFlight() const { return this->running; }
    [[nodiscard]] std::uint32_t failureRun() const { return this->failures; }
    [[nodiscard]] std::uint32_t rejectionRun() const { return this->rejections; }
    /// Lowest average duration in the last seconds of the kind that ended last; 0: unknown.
    [[nodiscard]] Duration bestLatency() const { return this->latencies.best(); }
    /// Moving average of the durations of the kind that ended last; 0: unknown.
    [[nodiscard]] Duration averageLatency() const { return this->latencies.average(); }
    /// Current interval between two trials.
    [[nodiscard]] Duration trialInterval() const { return this->trialDelay; }
    /// When the last statement with an outcome other than Ignored ended; 0: none has.
    [[nodiscard]] TimePoint lastFinishedAt() const { return this->finishedAt; }

private:
    void succeeded(Duration took, TimePoint now);
    void rejected(TimePoint startedAt, TimePoint now);
    void failed(TimePoint startedAt, TimePoint now);
    void growWindow(TimePoint now);
    /// Sets a lower window, once for all statements that were in flight together.
    void shrinkWindow(std::uint32_t target, TimePoint startedAt, TimePoint now);
    void suspend(TimePoint now);
    void resume(TimePoint now);
    /// Doubles the pause between two statements.
    void lengthenPause(TimePoint now);
    [[nodiscard]] Duration decayedPause(TimePoint now) const;
    /// \a duration varied by up to a quarter.
    [[nodiscard]] Duration varied(Duration duration);

    ServerPaceOptions options;
    std::uint64_t random;
    std::uint32_t limit;
    std::uint32_t ceiling;      ///< up to here the window grows with each success, above it in steps
    Duration ceilingLatency{0}; ///< average duration when the server rejected at the ceiling; 0: none
    std::uint32_t running = 0;
    TimePoint grewAt{0};
    TimePoint shrunkAt{0};

    LatencyBaselines latencies;

    Duration pause{0}; ///< between two statements, at pauseSetAt
    TimePoint pauseSetAt{0};
    TimePoint notBefore{0}; ///< end of the current pause

    std::uint32_t failures = 0;   ///< since the last success
    std::uint32_t rejections = 0; ///< since the last success or failure
    std::uint32_t successes = 0;  ///< since the end of the last suspension, up to settledSuccesses
    bool suspended = false;
    TimePoint suspendedAt{0};
    TimePoint trialAt{0};
    Duration trialDelay{0}; ///< 0: no recent suspension
    TimePoint finishedAt{0};
};

} // namespace Jujubekeel
