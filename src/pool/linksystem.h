#pragma once

#include "pool/linkrow.h"
#include "pool/poolids.h"
#include "pool/poolmessages.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Jujubekeel {

struct PoolWorld;
struct ServerRow;

enum class LinkEnd : std::uint8_t {
    Refused,  ///< nothing listens at the address
    Rejected, ///< the server rejected the greeting: too many connections, or not the expected server
    Broken,   ///< reset or closed by the server
    Silent,   ///< no response by the deadline
    Closed,   ///< by this instance
};

/// Callers' work, or control commands that monitor and replace a primary. The latter may use one connection above the
/// limit.
enum class LinkPurpose : std::uint8_t { Work, Control };

/// An exchange whose response is complete.
struct CompletedExchange
{
    Exchange exchange;
    SessionState state = SessionState::Idle;
    std::optional<LogPosition> position; ///< applied position of the server's log
};

/// Opens, assigns and closes the connections to backend servers and members, and matches responses with requests. Owned
/// by PoolCore.
class LinkSystem final
{
public:
    explicit LinkSystem(PoolWorld &poolWorld) : world(poolWorld) {}

    /// Whether this instance's role in the fleet allows connections to the server.
    [[nodiscard]] bool mayConnect(const ServerRow &server) const;
    /// Maximum number of connections of this instance to the server.
    [[nodiscard]] std::uint32_t linkLimit(const ServerRow &server) const;
    /// A free link of the server, if possible one on which the values of \a session are in force; invalid if none is
    /// free.
    [[nodiscard]] LinkId findFree(ServerId server, SessionId session) const;
    /// Whether the server has a link of the organisation, free or in use.
    [[nodiscard]] bool hasOpen(ServerId server, std::string_view organisation) const;
    /// Opens a link in the name of \a organisation, unless one is being opened for it, it has its share of the links, the
    /// limit is reached and no link can be given up, or the retry delay has not passed. Returns true if a link is being opened afterwards.
    bool ensureOpening(ServerId server, LinkPurpose purpose = LinkPurpose::Work, std::string_view organisation = {});

    /// Opens a link to a member for requests for operations; invalid if none may be opened at present. Requests may be
    /// sent on it at once.
    [[nodiscard]] LinkId openForRequests(ServerId member);

    /// Closes the server's free links.
    void closeFree(ServerId server);
    /// Closes free links above the limit, which falls when members join.
    void closeSurplus();

    /// Sends a command. The server answers commands in the order in which they were sent.
    void send(LinkId link, ExchangeKind kind, ServerCommand command);
    /// The link is closed as Silent unless the oldest exchange is complete by then.
    void setDeadline(LinkId link, TimePoint deadline);
    /// Handles one message of a server. Returns the exchange that it completes. Sets \a broken if the message answers
    /// no request or the result is too large; the link must then be closed.
    std::optional<CompletedExchange> receive(LinkId link, ServerMessage message, bool &broken);
    /// Closes a link and removes its row. Work on the link must have been settled.
    void close(LinkId link, LinkEnd end);
    /// The server has accepted the greeting of a new link.
    void greeted(LinkId link);

    /// True if this instance may open no connection to the server yet, because the server may still hold those of
    /// before a loss of power. Other members may have one.
    [[nodiscard]] bool lacksLink(ServerId server) const;

private:
    /// Number of other members that come before this one in the order for the server.
    [[nodiscard]] std::uint32_t rankForServer(const ServerRow &server) const;
    /// Whether servers may not have noticed yet that an earlier process of this instance has ended.
    [[nodiscard]] bool mayServersHoldEarlierLinks() const;
    LinkId open(ServerId server, std::string_view organisation, bool forRequests);
    /// Whether no other handshake with the server may be started for the organisation at present.
    [[nodiscard]] bool isOpening(const ServerRow &row, std::string_view organisation) const;
    /// Whether the organisation has as many of the \a limit links to the server as one may have.
    [[nodiscard]] bool hasItsShare(const ServerRow &row, std::string_view organisation, std::uint32_t limit) const;
    /// Closes a free link of another organisation. Returns false if none may be closed.
    bool giveUpLink(const ServerRow &row, std::string_view organisation);
    /// The server has shown that it is reachable: its silence counts from now, if a response is outstanding.
    void restartSilence(ServerId server);
    /// Sets the delay before the next connection, and when the server became unreachable, after a connection was lost.
    void recordFailure(ServerId server, LinkEnd end, bool wasGreeted);

    PoolWorld &world;
};

} // namespace Jujubekeel
