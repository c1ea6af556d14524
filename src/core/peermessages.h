#pragma once

#include "core/callermessages.h"
#include "core/id.h"
#include "core/time.h"
#include "session/logposition.h"
#include "session/termhistory.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

/// Messages between proxies. Ids are those of the receiver's own settings; the CBOR forms in wire/ carry names.
namespace Jujubekeel {

/// What the owner of a backend server knows about it.
struct BackendReport
{
    BackendId backend;
    bool primary = false;
    LogPosition applied;
    LogPosition received;
    TermHistory history;
    /// Primary only: time between the moment at which `received` was known to be the end of the confirmed log and the
    /// sending of this message. Negative: not known.
    Duration confirmedAge{-1};
    std::uint32_t queueLength = 0;
    bool closing = false; ///< the owner is about to release the server
};

struct Heartbeat
{
    std::uint64_t incarnation = 0;     ///< start of the process; tells a restarted instance from the earlier one
    TimePoint sentAt{0};               ///< sender's clock
    TimePoint echo{0};                 ///< `sentAt` of the last heartbeat received from the receiver; 0: none yet
    std::uint64_t echoIncarnation = 0; ///< incarnation of the receiver that `echo` came from
    std::uint64_t rulesVersion = 0;
    bool leaving = false;
    std::vector<BackendReport> owned;
};

struct RulesUpdate
{
    std::uint64_t version = 0;
    std::string text;
};

struct RulesQuery
{
    std::uint64_t knownVersion = 0;
};

struct PromotionNotice
{
    DatabaseId database;
    BackendId primary;
    TermStart start;
};

/// Asks the next best candidate to take the lock of a backend server that the sender has just released.
struct Handover
{
    BackendId backend;
};

/// Asks a live peer whether it hears the instance that holds a backend server's lock.
struct HolderQuery
{
    BackendId backend;
    InstanceId holder;
};

struct HolderAnswer
{
    BackendId backend;
    InstanceId holder;
    bool heard = false;
};

/// Planned switchover: the coordinator asks the owner of the primary to keep new writes in its queue, or to go on.
struct WritePause
{
    DatabaseId database;
    std::uint64_t term = 0; ///< of the primary; the pause ends with it
    bool paused = false;
    Duration duration{0}; ///< the pause ends by itself after this time unless it is renewed
};

/// Planned switchover: the owner of the primary reports that nothing that writes runs any more.
struct WritesDrained
{
    DatabaseId database;
    std::uint64_t term = 0;
    LogPosition position; ///< end of the log
};

/// A request that the entry proxy sends to the owner of the chosen backend server.
struct ForwardRequest
{
    std::uint64_t forwardId = 0; ///< chosen by the entry; names this attempt in the answer
    BackendId backend;
    CallerRequest request;  ///< request.timeout is the time left when this message was sent
    LogPosition mark;       ///< the server must contain it
    std::uint64_t term = 0; ///< writes: term of the primary as the entry knows it; 0: any
    bool barrier = false;   ///< read at the primary: confirm afterwards that it still is the primary
    bool notRepeatable = false;
    bool lookup = false; ///< do not execute; tell whether the log holds a write with the request key
};

struct ForwardAnswer
{
    std::uint64_t forwardId = 0;
    ResultCode code = ResultCode::Ok;
    std::string text;
    std::string value;
    std::string transaction;
    LogPosition position;
    TermHistory history; ///< of the server that answered
    bool repeated = false;
    /// Not-run answers only: the owner can tell the entry that another server is the primary now.
    BackendId primary;
};

using PeerMessage = std::variant<Heartbeat, RulesUpdate, RulesQuery, PromotionNotice, Handover, ForwardRequest,
                                 ForwardAnswer, HolderQuery, HolderAnswer, WritePause, WritesDrained>;

} // namespace Jujubekeel
