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

/// Messages between proxies. Ids refer to this process's layout; the CBOR encoding in wire/ carries names instead.
namespace Jujubekeel {

/// State of a backend server as its owner reports it to other proxies.
struct BackendReport
{
    BackendId backend;
    bool primary = false;
    LogPosition applied;
    LogPosition received;
    TermHistory history;
    /// Primary only: time between the moment at which `received` was the end of the confirmed log and the sending of
    /// this message. Negative: not known.
    Duration confirmedAge{-1};
    std::uint32_t queueLength = 0;
    bool closing = false; ///< the owner is about to release the server
};

struct Heartbeat
{
    std::uint64_t incarnation = 0;     ///< larger after each restart of the sender
    TimePoint sentAt{0};               ///< sender's clock
    TimePoint echo{0};                 ///< `sentAt` of the last heartbeat received from the receiver; 0: none yet
    std::uint64_t echoIncarnation = 0; ///< incarnation of the receiver in that heartbeat
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

/// Requests the best-ranked other candidate to take the lock of a backend server that the sender has just released.
struct Handover
{
    BackendId backend;
};

/// Query to a live peer: does it receive heartbeats from the instance that holds a backend server's lock?
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

/// Planned switchover: the coordinator requests that the owner of the primary holds new writes in its queue or resumes
/// them.
struct WritePause
{
    DatabaseId database;
    std::uint64_t term = 0; ///< term of the primary; the pause ends with it
    bool paused = false;
    Duration duration{0}; ///< the pause ends after this time unless it is renewed
};

/// Planned switchover: the owner of the primary reports that no write is running any more.
struct WritesDrained
{
    DatabaseId database;
    std::uint64_t term = 0;
    LogPosition position; ///< end of the log
};

/// A request that the entry proxy sends to the owner of the chosen backend server.
struct ForwardRequest
{
    std::uint64_t forwardId = 0; ///< chosen by the entry proxy; repeated in the answer
    BackendId backend;
    CallerRequest request;      ///< request.timeout is the time left when this message was sent
    LogPosition mark;           ///< position of the session that the server must contain
    std::uint64_t term = 0;     ///< writes: term of the primary as known to the entry proxy; 0: any
    bool barrier = false;       ///< confirm after the execution that the server is still the primary
    bool notRepeatable = false; ///< set by a no-repeat rule
    bool lookup = false;        ///< don't execute; report whether the log contains a write with the request key
};

struct ForwardAnswer
{
    std::uint64_t forwardId = 0;
    ResultCode code = ResultCode::Ok;
    std::string text;
    std::string value;
    std::string transaction;
    LogPosition position;
    TermHistory history;   ///< of the server that answered
    bool repeated = false; ///< the result is that of an earlier request with the same key
    BackendId primary;     ///< not run: the current primary, if it is another server
};

using PeerMessage = std::variant<Heartbeat, RulesUpdate, RulesQuery, PromotionNotice, Handover, ForwardRequest,
                                 ForwardAnswer, HolderQuery, HolderAnswer, WritePause, WritesDrained>;

} // namespace Jujubekeel
