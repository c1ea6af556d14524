#pragma once

#include "pace/serverpace.h"
#include "pool/calleroutcome.h"
#include "pool/poolids.h"

#include <optional>
#include <span>

namespace Jujubekeel {

struct PoolWorld;
struct ServerRow;
struct SessionRow;

/// Applies ServerPace to the work for backend servers, if PoolOptions::adaptivePacing is set; otherwise it allows
/// everything. Members are not paced. The state is in ServerRow and LinkRow; used by DispatchSystem, ResultSystem and
/// ServerChooser.
class PaceSystem final
{
public:
    explicit PaceSystem(PoolWorld &poolWorld) : world(poolWorld) {}

    /// Whether the session's statement or transaction may be sent to the server now. If not, queued work of the service
    /// is dispatched when that may change.
    [[nodiscard]] bool mayStart(const SessionRow &session, ServerId server, bool lastResort);
    /// Whether all of \a candidates that can be reached are suspended, so that they are used as if none were.
    [[nodiscard]] bool isLastResort(std::span<const ServerId> candidates) const;
    /// Whether the server is suspended and the next statement to it would be a trial.
    [[nodiscard]] bool isTrialDue(ServerId server) const;
    /// A statement, or the command that begins a transaction, is sent on the link.
    void started(LinkId link);
    /// The statement on the link has ended. \a sentAt is when the server got it, if that was after started(); \a kind is that of
    /// ServerPace::finished().
    void finished(LinkId link, PaceOutcome outcome, TimePoint sentAt = TimePoint{0}, Duration kind = Duration{0});

    [[nodiscard]] static PaceOutcome outcomeOf(const std::optional<OutcomeError> &error, bool writes);
    /// Whether the session's work may be a trial statement: its failure is not the caller's, since a read is repeated
    /// elsewhere after the first attempt.
    [[nodiscard]] static bool canTry(const SessionRow &session);

private:
    /// Dispatches the queued work of the server's service at \a at.
    void dispatchAt(ServerRow &row, TimePoint at);
    void logChange(ServerId server, bool wasSuspended, TimePoint suspendedSince);

    PoolWorld &world;
};

} // namespace Jujubekeel
