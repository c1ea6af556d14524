#include "net/httpclient.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cassert>
#include <charconv>
#include <istream>
#include <ostream>
#include <system_error>

namespace Jujubekeel {

namespace {

/// Limits of the lines of a chunked body besides its data.
constexpr std::size_t maxChunkLineBytes = 8192;
constexpr std::size_t maxTrailerFields = 100;

/// Makes the kernel close a dead connection within about three seconds. The network may drop packets of one connection
/// without a reset while new connections still work.
void enableDeadPeerDetection(Poco::Net::StreamSocket &socket)
{
    socket.setKeepAlive(true);
    socket.setOption(IPPROTO_TCP, TCP_KEEPIDLE, 1);
    socket.setOption(IPPROTO_TCP, TCP_KEEPINTVL, 1);
    socket.setOption(IPPROTO_TCP, TCP_KEEPCNT, 2);
    socket.setOption(IPPROTO_TCP, TCP_USER_TIMEOUT, 2000);
}

std::size_t headerBytes(const Poco::Net::MessageHeader &header)
{
    std::size_t bytes = 2;
    for (const auto &[name, value] : header)
        bytes += name.size() + value.size() + 4;
    return bytes;
}

} // namespace

/// HTTP session that throws where POCO would reconnect implicitly.
class HttpClient::Session final : public Poco::Net::HTTPClientSession
{
public:
    explicit Session(const Poco::Net::StreamSocket &socket) : HTTPClientSession(socket) { this->setKeepAlive(true); }

    /// Reads a chunked body up to its end, or to more than \a limit bytes. Returns false if it is cut off or malformed.
    /// POCO's stream takes a connection that was closed within the body for its end.
    bool readChunks(std::string &body, std::size_t limit, MemoryTally::Share &held)
    {
        std::array<char, 8192> buffer{};
        while (true) {
            const auto head = this->readLine();
            std::size_t size = 0;
            if (!head)
                return false;
            const auto [end, failure] = std::from_chars(head->data(), head->data() + head->size(), size, 16);
            if (failure != std::errc{} || (end != head->data() + head->size() && *end != ';' && *end != ' '))
                return false;
            if (size == 0)
                break;
            while (size > 0) {
                const int count = this->read(buffer.data(), static_cast<int>(std::min(size, buffer.size())));
                if (count <= 0)
                    return false;
                body.append(buffer.data(), static_cast<std::size_t>(count));
                size -= static_cast<std::size_t>(count);
                held.set(body.size());
                if (body.size() > limit)
                    return true;
            }
            if (this->readLine() != std::string())
                return false;
        }
        std::optional<std::string> trailer;
        std::size_t fields = 0;
        do {
            trailer = this->readLine();
            fields += 1;
        } while (trailer && !trailer->empty() && fields < maxTrailerFields);
        return trailer && trailer->empty();
    }

protected:
    void connect(const Poco::Net::SocketAddress &) override
    {
        throw Poco::Net::ConnectionAbortedException("connection closed by the server");
    }

private:
    /// A line of the chunked encoding without its end; empty optional if it is cut off or too long.
    std::optional<std::string> readLine()
    {
        std::string line;
        while (line.size() <= maxChunkLineBytes) {
            const int letter = this->get();
            if (letter < 0)
                return std::nullopt;
            if (letter == '\n') {
                if (!line.empty() && line.back() == '\r')
                    line.pop_back();
                return line;
            }
            line.push_back(static_cast<char>(letter));
        }
        return std::nullopt;
    }
};

HttpClient::HttpClient(std::string serverAddress, Duration timeout, HttpClientLimits clientLimits)
    : address(std::move(serverAddress)), connectTimeout(timeout), limits(clientLimits)
{
}

HttpClient::~HttpClient()
{
    if (this->cancelDescriptor >= 0)
        ::close(this->cancelDescriptor);
}

bool HttpClient::connect(std::string &error)
{
    assert(!this->session);
    try {
        Poco::Net::StreamSocket socket;
        socket.connect(Poco::Net::SocketAddress(this->address), Poco::Timespan(this->connectTimeout.count()));
        socket.setNoDelay(true);
        enableDeadPeerDetection(socket);
        const std::scoped_lock lock(this->mutex);
        if (this->cancelled) {
            error = "cancelled";
            return false;
        }
        this->cancelDescriptor = ::dup(socket.impl()->sockfd());
        if (this->cancelDescriptor < 0) {
            error = "no descriptor is free";
            return false;
        }
        this->session = std::make_unique<Session>(socket);
        return true;
    } catch (const Poco::Exception &exception) {
        error = exception.displayText();
        return false;
    }
}

std::optional<HttpClientResponse> HttpClient::exchange(const HttpClientRequest &request, Duration timeout,
                                                       std::string &error)
{
    assert(this->session);
    try {
        Poco::Net::HTTPRequest httpRequest(request.method, request.path, Poco::Net::HTTPMessage::HTTP_1_1);
        httpRequest.setHost(this->address);
        httpRequest.setKeepAlive(true);
        for (const auto &[name, value] : request.headers)
            httpRequest.set(name, value);
        if (request.method != "GET") {
            httpRequest.setContentType("application/json");
            httpRequest.setContentLength64(static_cast<Poco::Int64>(request.body.size()));
        }
        if (this->session->connected())
            this->session->socket().setReceiveTimeout(Poco::Timespan(timeout.count()));
        std::ostream &output = this->session->sendRequest(httpRequest);
        output.write(request.body.data(), static_cast<std::streamsize>(request.body.size()));
        output.flush();
        this->sent = request.method.size() + request.path.size() + 12 + headerBytes(httpRequest) + request.body.size();

        Poco::Net::HTTPResponse httpResponse;
        std::istream &input = this->session->receiveResponse(httpResponse);
        HttpClientResponse response{
            .status = static_cast<int>(httpResponse.getStatus()), .body = {}, .headers = httpResponse};
        const auto tooLarge = [&](std::size_t bytes) {
            if (bytes > this->limits.bodyBytes)
                error = "response body exceeds the limit of " + std::to_string(this->limits.bodyBytes) + " bytes";
            return bytes > this->limits.bodyBytes;
        };
        MemoryTally::Share held(this->limits.tally);
        if (httpResponse.hasContentLength()) {
            const auto length = static_cast<std::size_t>(httpResponse.getContentLength64());
            if (tooLarge(length))
                return std::nullopt;
            // Appending would double the memory each time that it is exhausted.
            response.body.reserve(length);
        }
        std::array<char, 8192> buffer{};
        const bool hasBody = response.status != Poco::Net::HTTPResponse::HTTP_NO_CONTENT
                             && response.status != Poco::Net::HTTPResponse::HTTP_NOT_MODIFIED;
        const bool chunked = httpResponse.getChunkedTransferEncoding() && hasBody;
        if (chunked && !this->session->readChunks(response.body, this->limits.bodyBytes, held)) {
            error =
                "chunked response body truncated or malformed after " + std::to_string(response.body.size()) + " bytes";
            return std::nullopt;
        }
        if (tooLarge(response.body.size()))
            return std::nullopt;
        while (!chunked && input) {
            input.read(buffer.data(), buffer.size());
            response.body.append(buffer.data(), static_cast<std::size_t>(input.gcount()));
            held.set(response.body.size());
            if (tooLarge(response.body.size()))
                return std::nullopt;
        }
        // POCO takes a connection that was closed within the header for the end of the header.
        if (hasBody && !chunked && response.body.empty() && !httpResponse.hasContentLength()
            && httpResponse.getKeepAlive()) {
            error = "response header truncated";
            return std::nullopt;
        }
        // POCO reports a connection that was closed within the body as a normal end of the stream.
        if (httpResponse.hasContentLength()
            && response.body.size() != static_cast<std::size_t>(httpResponse.getContentLength64())) {
            error = "response body truncated after " + std::to_string(response.body.size()) + " bytes";
            return std::nullopt;
        }
        this->received = httpResponse.getReason().size() + 15 + headerBytes(httpResponse) + response.body.size();
        return response;
    } catch (const Poco::Exception &exception) {
        error = exception.displayText();
        return std::nullopt;
    } catch (const std::exception &exception) {
        error = exception.what();
        return std::nullopt;
    }
}

void HttpClient::cancel()
{
    const std::scoped_lock lock(this->mutex);
    this->cancelled = true;
    if (this->cancelDescriptor >= 0)
        ::shutdown(this->cancelDescriptor, SHUT_RDWR);
}

bool HttpClient::isStale() const
{
    pollfd watched{.fd = this->descriptor(), .events = POLLIN | POLLRDHUP, .revents = 0};
    return watched.fd < 0 || ::poll(&watched, 1, 0) != 0;
}

int HttpClient::descriptor() const
{
    const std::scoped_lock lock(this->mutex);
    return this->cancelDescriptor;
}

} // namespace Jujubekeel
