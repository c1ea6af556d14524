#pragma once

#include "core/time.h"
#include "pool/poolids.h"
#include "pool/poolmessages.h"

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Jujubekeel {

struct Route;

enum class ExchangeKind : std::uint8_t {
    Open,
    Setup, ///< values and prepared statements of the session that uses the link
    Begin,
    Statement,
    Rollback,
    Position, ///< asks for the log position of an idle primary
    Status,
};

/// One question on a link that waits for its answer.
struct Exchange
{
    ExchangeKind kind = ExchangeKind::Statement;
    TimePoint sentAt{0};
    std::vector<std::string> rows;
    std::size_t bytes = 0;
    std::string digest;
    std::optional<ReplicationStatus> status; ///< Status
    bool done = false;
    std::optional<OutcomeError> error;
};

/// One connection to a backend server. Written by LinkSystem and DispatchSystem.
struct LinkRow
{
    ServerId server;
    bool connected = false; ///< the server's machine has accepted the connection
    bool open = false;      ///< greeted
    TimePoint openedAt{0};  ///< start of the connect
    SessionId user;         ///< session whose statement or transaction occupies the link
    bool inTransaction = false;
    std::uint64_t leadershipGeneration = 0; ///< leadership of the service under which the present work was sent
    std::deque<Exchange> exchanges;
    TimePoint deadline{0};                                  ///< for the oldest exchange; 0: none
    std::map<std::string, std::string, std::less<>> values; ///< session values in force on the connection
    std::set<std::string, std::less<>> prepared;            ///< names of the pool's own prepared statements
    std::shared_ptr<const Route> relayedRoute;              ///< to a member: route that it was last told of
    LogPosition relayedMark;                                ///< and newest commit of the session then

    [[nodiscard]] bool isFree() const { return this->open && !this->user.isValid() && this->exchanges.empty(); }
};

} // namespace Jujubekeel
