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

struct HttpResult
{
    int status = 0; ///< 0: no answer, the connection was closed or the time was over
    std::string etag;
    nlohmann::json body;
};

/// One persistent connection of a test to a fake.
class HttpConnection final
{
public:
    explicit HttpConnection(const std::string &address) : session(Poco::Net::SocketAddress(address))
    {
        this->session.setKeepAlive(true);
        this->session.setKeepAliveTimeout(Poco::Timespan(3600, 0));
        this->session.setTimeout(Poco::Timespan(10, 0));
    }
    /// Longest wait for an answer; also for a connection that is open already.
    void setTimeout(std::chrono::milliseconds timeout)
    {
        const Poco::Timespan span(std::chrono::microseconds(timeout).count());
        this->session.setTimeout(span);
        if (this->session.connected())
            this->session.socket().setReceiveTimeout(span);
    }

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

/// Asks again until the condition holds; false after 20 s.
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
