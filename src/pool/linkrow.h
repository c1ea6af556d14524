#pragma once

#include "core/time.h"
#include "pool/poolids.h"
#include "pool/poolmessages.h"
#include "pool/preparednames.h"

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Jujubekeel {

struct Route;

enum class ExchangeKind : std::uint8_t {
    Open,
    Setup,   ///< route and values of the session that uses the link
    Prepare, ///< of the statement that follows
    Begin,
    Statement,
    Rollback,
    Position,  ///< requests the log position of the primary
    Status,    ///< requests the replication status
    Subscribe, ///< to a member: held until the configuration or the members change
    Allowance, ///< to a member: requests operations of a limited organisation
};

/// One request on a link, and the part of its response that has arrived.
struct Exchange
{
    ExchangeKind kind = ExchangeKind::Statement;
    TimePoint sentAt{0};
    std::vector<std::string> rows;
    std::size_t bytes = 0; ///< of the rows
    std::string digest;
    std::optional<ReplicationStatus> status; ///< response to Status
    bool done = false;                       ///< Done has arrived
    std::optional<OutcomeError> error;
};

/// One connection to a backend server, or to a member. Written by LinkSystem, DispatchSystem and ResultSystem.
struct LinkRow
{
    ServerId server;
    std::string organisation; ///< in whose name it was opened; empty: none
    bool connected = false;   ///< the TCP connection is established
    bool open = false;        ///< the server has accepted the greeting
    bool forRequests = false; ///< to a member: carries requests for operations only, so that they wait for no statement
    TimePoint openedAt{0};    ///< when the connect was started
    SessionId user;           ///< session whose statement or transaction occupies the link
    bool inTransaction = false;
    TimePoint paceStartedAt{0};             ///< of the statement that ServerPace counts as in flight; 0: none
    std::uint64_t leadershipGeneration = 0; ///< of the service, when the current work was sent
    std::deque<Exchange> exchanges;
    TimePoint deadline{0};                                  ///< for the response to the oldest exchange; 0: none
    std::map<std::string, std::string, std::less<>> values; ///< session values in force on the connection
    PreparedNames prepared;                                 ///< statements that are prepared on the connection
    std::shared_ptr<const Route> relayedRoute;              ///< to a member: route that was last sent to it
    LogPosition relayedMark;                                ///< and the session's mark that was sent with it
    std::string relayedOrganisation;                        ///< and the session's organisation
    TimePoint greetedAt{0};                                 ///< when the server accepted the greeting
    TimePoint usedAt{0};                                    ///< when it was last released; 0: not used yet

    [[nodiscard]] bool isFree() const
    {
        return this->open && !this->forRequests && !this->user.isValid() && this->exchanges.empty();
    }
};

} // namespace Jujubekeel
