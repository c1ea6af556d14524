#include "net/httplistenerstate.h"

#include "net/boottime.h"

#include <Poco/Exception.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/URI.h>

#include <sys/epoll.h>

#include <array>
#include <atomic>
#include <istream>

/// The part of HttpListener that reads requests and writes responses, on its worker threads.
namespace Jujubekeel {

namespace {

/// Limit of unread input, in bytes, that is discarded before a refused connection is closed.
constexpr std::size_t drainLimit = std::size_t{4} * 1024 * 1024;

std::atomic<std::uint64_t> nextExchange{1};

} // namespace

void HttpListener::readRequest(const ConnectionPointer &connection)
{
    HttpRequest httpRequest;
    try {
        connection->request.reset();
        connection->response = std::make_unique<Poco::Net::HTTPServerResponseImpl>(*connection->session);
        connection->request = std::make_unique<Poco::Net::HTTPServerRequestImpl>(
            *connection->response, *connection->session, this->state->params.get());
        Poco::Net::HTTPServerRequestImpl &request = *connection->request;

        // Size and framing of the body.
        const bool chunked = request.getChunkedTransferEncoding();
        if (chunked && request.hasContentLength()) {
            this->refuseRequest(connection, ResultCode::MalformedRequest,
                                "header: Content-Length and Transfer-Encoding exclude each other");
            return;
        }
        if (request.hasContentLength() && request.getContentLength64() < 0) {
            this->refuseRequest(connection, ResultCode::MalformedRequest, "header: Content-Length is negative");
            return;
        }
        if (request.hasContentLength() && request.getContentLength64() > this->options.maxBodyBytes) {
            this->refuseRequest(connection, ResultCode::RequestTooLarge,
                                "body: " + std::to_string(request.getContentLength64()) + " bytes, limit "
                                    + std::to_string(this->options.maxBodyBytes));
            return;
        }
        // Without either header there is no body; POCO would read until the end of the connection.
        const bool hasBody = chunked || request.hasContentLength();
        if (request.getExpectContinue())
            connection->response->sendContinue();

        // Read until the limit is exceeded, to detect a chunked body that is too large.
        if (hasBody) {
            std::array<char, 16384> buffer{};
            std::istream &input = request.stream();
            while (input && httpRequest.body.size() <= this->options.maxBodyBytes) {
                input.read(buffer.data(), buffer.size());
                httpRequest.body.append(buffer.data(), static_cast<std::size_t>(input.gcount()));
            }
            if (httpRequest.body.size() > this->options.maxBodyBytes) {
                this->refuseRequest(connection, ResultCode::RequestTooLarge,
                                    "body: longer than " + std::to_string(this->options.maxBodyBytes)
                                        + " bytes, the limit of the settings");
                return;
            }
            if (request.hasContentLength()
                && httpRequest.body.size() != static_cast<std::size_t>(request.getContentLength64())) {
                this->refuseRequest(connection, ResultCode::MalformedRequest,
                                    "body: byte " + std::to_string(httpRequest.body.size())
                                        + ": ends before its Content-Length");
                return;
            }
        }

        httpRequest.method = request.getMethod();
        httpRequest.clientAddress = request.clientAddress().host().toString();
        httpRequest.path = Poco::URI(request.getURI()).getPath();
        httpRequest.headers.reserve(request.size());
        for (const auto &[name, value] : request)
            httpRequest.headers.emplace_back(name, value);
    } catch (const Poco::Net::NoMessageException &) {
        this->close(connection); // the client disconnected between two requests
        return;
    } catch (const Poco::TimeoutException &) {
        this->close(connection);
        return;
    } catch (const Poco::Net::ConnectionResetException &) {
        this->close(connection);
        return;
    } catch (const Poco::Exception &error) {
        this->refuseRequest(connection, ResultCode::MalformedRequest, "request line or header: " + error.displayText());
        return;
    } catch (const std::exception &error) {
        this->refuseRequest(connection, ResultCode::MalformedRequest,
                            std::string("request line or header: ") + error.what());
        return;
    }

    // The headers, up to 800 KB, are not kept while the request waits.
    connection->keepAlive = connection->request->getKeepAlive();
    connection->request->clear();
    // From here the handler may answer at any time, from any thread.
    httpRequest.exchangeId = nextExchange.fetch_add(1);
    {
        const std::scoped_lock lock(this->state->mutex);
        connection->exchangeId = httpRequest.exchangeId;
        this->state->exchanges.emplace(httpRequest.exchangeId, connection);
    }
    this->handler(std::move(httpRequest));

    {
        const std::scoped_lock lock(this->state->mutex);
        if (connection->phase == HttpPhase::Reading) {
            connection->phase = HttpPhase::Waiting;
            connection->phaseStart = bootTime();
            epoll_event event{};
            event.events = EPOLLRDHUP | EPOLLONESHOT;
            event.data.fd = connection->descriptor;
            epoll_ctl(this->state->epoll, EPOLL_CTL_MOD, connection->descriptor, &event);
            return;
        }
    }
    this->writeResponse(connection);
}

void HttpListener::sendResponse(Connection &connection, const HttpResponse &content, bool keepAlive)
{
    Poco::Net::HTTPServerResponseImpl &response = *connection.response;
    response.setStatus(static_cast<Poco::Net::HTTPResponse::HTTPStatus>(content.status));
    response.setReason(Poco::Net::HTTPResponse::getReasonForStatus(response.getStatus()));
    response.setVersion(Poco::Net::HTTPMessage::HTTP_1_1);
    response.setContentType(content.contentType);
    response.setKeepAlive(keepAlive);
    for (const auto &[name, value] : content.headers)
        response.set(name, value);
    response.sendBuffer(content.body.data(), content.body.size());
    // POCO flushes the output when the response object is destroyed.
    connection.request.reset();
    connection.response.reset();
}

void HttpListener::writeResponse(const ConnectionPointer &connection)
{
    bool keepAlive = false;
    try {
        keepAlive = connection->keepAlive;
        this->sendResponse(*connection, connection->pendingResponse, keepAlive);
    } catch (const std::exception &) {
        keepAlive = false; // the client has disconnected or does not read
    }
    connection->pendingResponse = HttpResponse{};
    if (keepAlive)
        this->waitForNextRequest(connection);
    else
        this->close(connection);
}

void HttpListener::refuseRequest(const ConnectionPointer &connection, ResultCode code, const std::string &text)
{
    try {
        if (!connection->response || connection->response->sent())
            connection->response = std::make_unique<Poco::Net::HTTPServerResponseImpl>(*connection->session);
        this->sendResponse(*connection, this->errorResponse(code, text), false);

        // Closing with unread input would reset the connection before the client has read the response.
        connection->socket.shutdownSend();
        std::array<char, 16384> buffer{};
        std::size_t drained = 0;
        connection->socket.setReceiveTimeout(Poco::Timespan(0, 500'000));
        while (drained < drainLimit) {
            const int received = connection->socket.receiveBytes(buffer.data(), static_cast<int>(buffer.size()));
            if (received <= 0)
                break;
            drained += static_cast<std::size_t>(received);
        }
    } catch (const std::exception &) {
        // The client has disconnected or does not read; the connection is closed below.
    }
    this->close(connection);
}

} // namespace Jujubekeel
