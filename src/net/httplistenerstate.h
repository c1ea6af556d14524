#pragma once

#include "net/httplistener.h"

#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/Net/HTTPServerResponseImpl.h>
#include <Poco/Net/HTTPServerSession.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <mutex>

/// State of HttpListener, for its source files only.
namespace Jujubekeel {

/// Gives access to the number of bytes that were read beyond the current request.
class HttpBufferedSession final : public Poco::Net::HTTPServerSession
{
public:
    using HTTPServerSession::HTTPServerSession;
    using HTTPSession::buffered;
};

enum class HttpPhase : std::uint8_t {
    Idle,    ///< no request; watched for input
    Reading, ///< a worker reads a request
    Waiting, ///< the handler processes the request; watched for a disconnect
    Writing, ///< a worker writes the response
    Closed,
};

struct HttpListener::Connection
{
    Poco::Net::StreamSocket socket;
    std::unique_ptr<HttpBufferedSession> session;
    std::unique_ptr<Poco::Net::HTTPServerResponseImpl> response;
    std::unique_ptr<Poco::Net::HTTPServerRequestImpl> request;
    int descriptor = -1;
    // Guarded by State::mutex.
    HttpPhase phase = HttpPhase::Idle;
    TimePoint phaseStart{0};
    std::uint64_t exchangeId = 0;
    HttpResponse pendingResponse;
    bool keepAlive = false; ///< used by the worker that serves the request
};

struct HttpListener::State
{
    Poco::Net::ServerSocket server;
    Poco::Net::HTTPServerParams::Ptr params = new Poco::Net::HTTPServerParams;
    int epoll = -1;
    int wake = -1; ///< eventfd that ends the watcher's wait

    mutable std::mutex mutex;
    std::condition_variable workAvailable;
    std::condition_variable requestFinished;
    std::map<int, ConnectionPointer> connections; ///< by descriptor
    std::map<std::uint64_t, ConnectionPointer> exchanges;
    std::deque<ConnectionPointer> workQueue;
    std::uint32_t activeRequests = 0; ///< connections from the start of a request to the end of its response
    std::uint64_t refused = 0;
    std::uint64_t failedAccepts = 0;
    TimePoint acceptPausedUntil{0}; ///< 0: connections are accepted; used by the watcher only
    bool accepting = true;
    bool stopping = false;
};

} // namespace Jujubekeel
