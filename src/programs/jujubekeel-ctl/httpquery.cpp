#include "programs/jujubekeel-ctl/httpquery.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/URI.h>

#include <array>
#include <chrono>
#include <cstddef>
#include <exception>
#include <istream>
#include <ostream>

namespace Jujubekeel {

namespace {

/// Longest response body that is read. The largest one is the status of an instance of a large fleet.
constexpr std::size_t maxResponseBytes = 64UL * 1024UL * 1024UL;

Poco::Timespan toTimespan(Duration duration)
{
    return Poco::Timespan(duration.count());
}

} // namespace

std::optional<HttpQueryResponse> performHttpQuery(const HttpQuery &query, std::string &error)
{
    const auto deadline = std::chrono::steady_clock::now() + query.connectTimeout + query.responseTimeout;
    try {
        Poco::Net::HTTPClientSession session{Poco::Net::SocketAddress(query.address)};
        session.setKeepAlive(false);
        session.setTimeout(toTimespan(query.connectTimeout), toTimespan(query.responseTimeout),
                           toTimespan(query.responseTimeout));
        Poco::Net::HTTPRequest request(query.method, query.path, Poco::Net::HTTPMessage::HTTP_1_1);
        for (const auto &[name, value] : query.headers)
            request.set(name, value);
        if (query.method != "GET") {
            request.setContentType("application/json");
            request.setContentLength64(static_cast<Poco::Int64>(query.body.size()));
        }
        session.sendRequest(request) << query.body << std::flush;

        Poco::Net::HTTPResponse header;
        std::istream &input = session.receiveResponse(header);
        HttpQueryResponse response{.status = static_cast<int>(header.getStatus()), .body = {}};
        std::array<char, 16384> buffer{};
        while (input) {
            input.read(buffer.data(), buffer.size());
            response.body.append(buffer.data(), static_cast<std::size_t>(input.gcount()));
            if (response.body.size() > maxResponseBytes) {
                error = "the response is longer than the limit of " + std::to_string(maxResponseBytes) + " bytes";
                return std::nullopt;
            }
            // The socket timeout restarts with each byte received, so a slow sender might never exceed it.
            if (std::chrono::steady_clock::now() > deadline) {
                error = "the response was not complete within the timeout";
                return std::nullopt;
            }
        }
        // A connection that is closed within the body looks like the end of the stream.
        if (header.hasContentLength()
            && response.body.size() != static_cast<std::size_t>(header.getContentLength64())) {
            error = "the response was truncated after " + std::to_string(response.body.size()) + " bytes";
            return std::nullopt;
        }
        return response;
    } catch (const Poco::Exception &exception) {
        error = exception.displayText();
    } catch (const std::exception &exception) {
        error = exception.what();
    }
    return std::nullopt;
}

std::string encodePathSegment(const std::string &text)
{
    std::string encoded;
    Poco::URI::encode(text, "/?#&=+%;:@", encoded);
    return encoded;
}

} // namespace Jujubekeel
