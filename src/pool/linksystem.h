#pragma once

#include "pool/linkrow.h"
#include "pool/poolids.h"
#include "pool/poolmessages.h"

#include <cstdint>
#include <optional>
#include <string>

namespace Jujubekeel {

struct PoolWorld;
struct ServerRow;

enum class LinkEnd : std::uint8_t {
    Refused,  ///< nothing listens at the address
    Rejected, ///< the server refused the greeting: it has too many connections, or is not the expected one
    Broken,   ///< reset or closed by the server
    Silent,   ///< no answer by the deadline
    Closed,   ///< by this instance
};

enum class LinkPurpose : std::uint8_t { Work, Control };

/// An exchange whose answer is complete.
struct CompletedExchange
{
    Exchange exchange;
    SessionState state = SessionState::Idle;
    std::optional<LogPosition> position;
};

/// Opens, shares out and closes the connections to backend servers, and matches answers with questions. Owned by
/// PoolCore.
class LinkSystem final
{
public:
    explicit LinkSystem(PoolWorld &poolWorld) : world(poolWorld) {}

    /// This instance's part in the fleet has use for connections to the server.
    [[nodiscard]] bool mayConnect(const ServerRow &server) const;
    /// Connections of this instance to one server, at most.
    [[nodiscard]] std::uint32_t linkLimit(const ServerRow &server) const;
    /// A free link of the server; one that already has the values of \a session is preferred.
    [[nodiscard]] LinkId findFree(ServerId server, SessionId session) const;
    /// Opens a link unless the limit is reached, one is being opened, or a failure was too recent. Returns true if one
    /// is being opened now.
    bool ensureOpening(ServerId server, LinkPurpose purpose = LinkPurpose::Work);

    /// Closes the server's links that nobody uses.
    void closeFree(ServerId server);
    /// Closes free links beyond the limit, which falls when members join.
    void closeSurplus();

    /// Sends a command; the answer is matched in order.
    void send(LinkId link, ExchangeKind kind, ServerCommand command);
    /// The link is closed as silent if the oldest exchange has no answer by then.
    void setDeadline(LinkId link, TimePoint deadline);
    /// Takes one message of a server. Returns the exchange that it completes; sets \a broken if the message fits no
    /// question, after which the link must be closed.
    std::optional<CompletedExchange> receive(LinkId link, ServerMessage message, bool &broken);
    /// Closes a link and removes its row. Work on it must have been taken care of.
    void close(LinkId link, LinkEnd end);
    /// Records the greeting of a new link.
    void greeted(LinkId link);

private:
    /// The server has just shown that it is there.
    void restartSilence(ServerId server);
    void noteFailure(ServerId server, LinkEnd end, bool wasGreeted);

    PoolWorld &world;
};

} // namespace Jujubekeel
