#pragma once

#include "core/time.h"

#include <cstddef>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace Jujubekeel {

struct HttpClientCall
{
    std::string method;
    std::string path; ///< with the query, percent-encoded
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body; ///< JSON; empty for GET
};

struct HttpClientReply
{
    int status = 0;
    std::string body;
};

/// One HTTP/1.1 connection to a fixed address, never reopened behind the user's back: a connection stands for one
/// session at a backend server. Used by one thread at a time; only cancel() may be called from others. Owned by
/// BackendConnections and PlatformClient.
class HttpClient final
{
public:
    HttpClient(std::string address, Duration connectTimeout);
    ~HttpClient();
    HttpClient(const HttpClient &) = delete;
    HttpClient &operator=(const HttpClient &) = delete;

    /// Opens the connection; blocks at most for the connect timeout. On failure returns false and sets \a error.
    bool connect(std::string &error);
    /// Sends a request and waits for the whole answer. \a timeout 0 waits without limit. Empty on failure: the
    /// connection must then not be used again.
    std::optional<HttpClientReply> exchange(const HttpClientCall &call, Duration timeout, std::string &error);
    /// Ends a running connect or exchange and makes later ones fail. Any thread; does not block.
    void cancel();

    /// True if the other side has closed the connection or sent something that nobody asked for.
    [[nodiscard]] bool isStale() const;
    /// Descriptor to be watched for input while no exchange is under way; -1 if not connected.
    [[nodiscard]] int descriptor() const;

    // Size of the last exchange with its headers, in bytes.
    [[nodiscard]] std::size_t bytesSent() const { return this->sent; }
    [[nodiscard]] std::size_t bytesReceived() const { return this->received; }

private:
    class Session;

    std::string address;
    Duration connectTimeout;
    std::unique_ptr<Session> session;
    std::size_t sent = 0;
    std::size_t received = 0;

    mutable std::mutex mutex;
    int cancelDescriptor = -1; ///< duplicate of the socket: POCO may close its own at any time
    bool cancelled = false;
};

} // namespace Jujubekeel
