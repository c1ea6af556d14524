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

/// Longest answer that is read. The largest is the status of an instance of a large fleet.
constexpr std::size_t maxAnswerBytes = 64UL * 1024UL * 1024UL;

Poco::Timespan toTimespan(Duration duration)
{
    return Poco::Timespan(duration.count());
}

} // namespace

std::optional<HttpAnswer> performHttpQuery(const HttpQuery &query, std::string &error)
{
    const auto deadline = std::chrono::steady_clock::now() + query.connectTimeout + query.answerTimeout;
    try {
        Poco::Net::HTTPClientSession session{Poco::Net::SocketAddress(query.address)};
        session.setKeepAlive(false);
        session.setTimeout(toTimespan(query.connectTimeout), toTimespan(query.answerTimeout),
                           toTimespan(query.answerTimeout));
        Poco::Net::HTTPRequest request(query.method, query.path, Poco::Net::HTTPMessage::HTTP_1_1);
        for (const auto &[name, value] : query.headers)
            request.set(name, value);
        if (query.method != "GET") {
            request.setContentType("application/json");
            request.setContentLength64(static_cast<Poco::Int64>(query.body.size()));
        }
        session.sendRequest(request) << query.body << std::flush;

        Poco::Net::HTTPResponse response;
        std::istream &input = session.receiveResponse(response);
        HttpAnswer answer{.status = static_cast<int>(response.getStatus()), .body = {}};
        std::array<char, 16384> buffer{};
        while (input) {
            input.read(buffer.data(), buffer.size());
            answer.body.append(buffer.data(), static_cast<std::size_t>(input.gcount()));
            if (answer.body.size() > maxAnswerBytes) {
                error = "the answer is longer than " + std::to_string(maxAnswerBytes) + " bytes";
                return std::nullopt;
            }
            // The timeout of the socket starts again with each byte.
            if (std::chrono::steady_clock::now() > deadline) {
                error = "the answer did not end in time";
                return std::nullopt;
            }
        }
        // A connection that ends within the body looks like the end of the stream.
        if (response.hasContentLength()
            && answer.body.size() != static_cast<std::size_t>(response.getContentLength64())) {
            error = "the answer ends after " + std::to_string(answer.body.size()) + " bytes";
            return std::nullopt;
        }
        return answer;
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
