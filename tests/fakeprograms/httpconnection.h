#pragma once

#include "wire/jsonfields.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/StreamCopier.h>
#include <nlohmann/json.hpp>

#include <chrono>
#include <memory>
#include <string>
#include <thread>

namespace Jujubekeel {

/// Response to a request of a test.
struct HttpResult
{
    int status = 0; ///< 0: no response, because the connection failed or the request timed out
    std::string etag;
    nlohmann::json body;
};

/// Persistent HTTP connection from a test to a fake. Owned by a test; not thread-safe.
class HttpConnection final
{
public:
    explicit HttpConnection(const std::string &address) : session(Poco::Net::SocketAddress(address))
    {
        this->session.setKeepAlive(true);
        this->session.setKeepAliveTimeout(Poco::Timespan(3600, 0));
        this->session.setTimeout(Poco::Timespan(10, 0));
    }
    /// Sets the limit of the wait for a response, also on a connection that is already open.
    void setTimeout(std::chrono::milliseconds timeout)
    {
        const Poco::Timespan span(std::chrono::microseconds(timeout).count());
        this->session.setTimeout(span);
        if (this->session.connected())
            this->session.socket().setReceiveTimeout(span);
    }

    /// Sends a request and waits for the response. The body of the result is discarded JSON if it cannot be parsed.
    HttpResult send(const std::string &method, const std::string &path, const std::string &body = {},
                    const std::string &ifMatch = {})
    {
        try {
            Poco::Net::HTTPRequest request(method, path, Poco::Net::HTTPMessage::HTTP_1_1);
            request.setKeepAlive(true);
            request.setContentLength(static_cast<std::streamsize>(body.size()));
            if (!ifMatch.empty())
                request.set("If-Match", ifMatch);
            this->session.sendRequest(request) << body;
            Poco::Net::HTTPResponse response;
            std::string text;
            Poco::StreamCopier::copyToString(this->session.receiveResponse(response), text);
            return {.status = response.getStatus(),
                    .etag = response.get("ETag", ""),
                    .body = nlohmann::json::parse(text, nullptr, false)};
        } catch (const Poco::Exception &) {
            return {};
        }
    }
    HttpResult post(const std::string &path, const nlohmann::json &body)
    {
        return this->send("POST", path, dumpJson(body));
    }
    HttpResult get(const std::string &path) { return this->send("GET", path); }

private:
    Poco::Net::HTTPClientSession session;
};

/// Evaluates the condition every 10 ms until it is true. Returns false after 2000 attempts, which is at least 20 s.
template <typename Condition>
bool waitUntil(Condition condition)
{
    for (int attempt = 0; attempt < 2000; ++attempt) {
        if (condition())
            return true;
        std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
    return false;
}

} // namespace Jujubekeel
