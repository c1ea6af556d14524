#pragma once

#include "core/time.h"
#include "intake/memorytally.h"

#include <Poco/Net/NameValueCollection.h>

#include <cstddef>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace Jujubekeel {

struct HttpClientRequest
{
    std::string method;
    std::string path; ///< percent-encoded, including the query
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body; ///< JSON; empty for GET
};

struct HttpClientResponse
{
    int status = 0;
    std::string body;
    Poco::Net::NameValueCollection headers;
};

struct HttpClientLimits
{
    /// Limit of a response body: four times the largest object of the platform.
    std::size_t bodyBytes = std::size_t{4} * 1024 * 1024;
    MemoryTally *tally = nullptr; ///< counts the body while it is received; null: not counted
};

/// One HTTP/1.1 connection to a fixed address. It is never reopened implicitly, because a connection represents one
/// session at a backend server. Used by one thread at a time; only cancel() may be called from others. Owned by
/// BackendConnections and PlatformClient.
class HttpClient final
{
public:
    HttpClient(std::string address, Duration connectTimeout, HttpClientLimits limits = {});
    ~HttpClient();
    HttpClient(const HttpClient &) = delete;
    HttpClient &operator=(const HttpClient &) = delete;

    /// Opens the connection; blocks no longer than the connect timeout. On failure returns false and sets \a error.
    bool connect(std::string &error);
    /// Sends a request and waits for the complete response; \a timeout limits each receive, 0 means no limit. On
    /// failure returns std::nullopt and sets \a error; the connection must not be used afterwards.
    std::optional<HttpClientResponse> exchange(const HttpClientRequest &request, Duration timeout, std::string &error);
    /// Aborts a running exchange and makes later calls fail. A running connect() fails once the connection is
    /// established or refused. Any thread; does not block.
    void cancel();

    /// True if there is no connection, the server has closed it, or it has sent data without a request.
    [[nodiscard]] bool isStale() const;
    /// Socket descriptor to poll for input between exchanges; -1 if not connected.
    [[nodiscard]] int descriptor() const;

    // Bytes of the last exchange, headers included.
    [[nodiscard]] std::size_t bytesSent() const { return this->sent; }
    [[nodiscard]] std::size_t bytesReceived() const { return this->received; }

private:
    class Session;

    std::string address;
    Duration connectTimeout;
    HttpClientLimits limits;
    std::unique_ptr<Session> session;
    std::size_t sent = 0;
    std::size_t received = 0;

    mutable std::mutex mutex;
    int cancelDescriptor = -1; ///< duplicate of the socket's descriptor: POCO may close the original at any time
    bool cancelled = false;
};

} // namespace Jujubekeel
