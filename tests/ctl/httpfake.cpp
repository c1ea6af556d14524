#include "ctl/httpfake.h"

#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/URI.h>

#include <iterator>

namespace Jujubekeel {

namespace {

class Handler final : public Poco::Net::HTTPRequestHandler
{
public:
    explicit Handler(const HttpFake::Handler &handlerFunction) : function(handlerFunction) {}

    void handleRequest(Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response) override
    {
        HttpFakeCall call{.method = request.getMethod(),
                          .path = Poco::URI(request.getURI()).getPath(),
                          .ifMatch = request.get("If-Match", ""),
                          .operatorKey = request.get("Operator-Key", ""),
                          .body = std::string(std::istreambuf_iterator<char>(request.stream()), {})};
        const HttpFakeReply reply = this->function(call);
        if (reply.status == 0) {
            dynamic_cast<Poco::Net::HTTPServerRequestImpl &>(request).socket().shutdown();
            return;
        }
        response.setStatus(static_cast<Poco::Net::HTTPResponse::HTTPStatus>(reply.status));
        response.sendBuffer(reply.body.data(), reply.body.size());
    }

private:
    const HttpFake::Handler &function;
};

class HandlerFactory final : public Poco::Net::HTTPRequestHandlerFactory
{
public:
    explicit HandlerFactory(HttpFake::Handler handlerFunction) : function(std::move(handlerFunction)) {}

    Poco::Net::HTTPRequestHandler *createRequestHandler(const Poco::Net::HTTPServerRequest &) override
    {
        return new Handler(this->function);
    }

private:
    HttpFake::Handler function;
};

} // namespace

struct HttpFake::State
{
    explicit State(HttpFake::Handler handler)
        : socket(Poco::Net::SocketAddress("127.0.0.1:0")),
          server(new HandlerFactory(std::move(handler)), this->socket, new Poco::Net::HTTPServerParams)
    {
    }

    Poco::Net::ServerSocket socket;
    Poco::Net::HTTPServer server;
};

HttpFake::HttpFake(Handler handler) : state(std::make_unique<State>(std::move(handler)))
{
    this->state->server.start();
}

HttpFake::~HttpFake()
{
    this->state->server.stopAll(true);
}

std::string HttpFake::address() const
{
    return this->state->socket.address().toString();
}

} // namespace Jujubekeel
