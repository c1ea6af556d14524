#include "programs/fake-backend/replicationlink.h"

#include "wire/jsonfields.h"
#include "wire/replicationjson.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/NullStream.h>
#include <Poco/StreamCopier.h>
#include <nlohmann/json.hpp>

#include <memory>
#include <utility>

namespace Jujubekeel {

namespace {

/// Limit of messages that wait to be sent.
constexpr std::size_t queueLimit = 1024;
/// 500 ms. A message that times out is dropped, and the link reconnects for the next one.
const Poco::Timespan deliveryTimeout(0, 500'000);

/// Sends one message over \a session and waits for the response; throws Poco::Exception on failure.
void sendMessage(Poco::Net::HTTPClientSession &session, const std::string &from, const ReplicationMessage &message)
{
    const std::string body = dumpJson({{"from", from}, {"message", toJson(message)}});
    Poco::Net::HTTPRequest request(Poco::Net::HTTPRequest::HTTP_POST, "/v1/replicate",
                                   Poco::Net::HTTPMessage::HTTP_1_1);
    request.setKeepAlive(true);
    request.setContentType("application/json");
    request.setContentLength(static_cast<std::streamsize>(body.size()));
    session.sendRequest(request) << body;
    Poco::Net::HTTPResponse response;
    Poco::NullOutputStream ignored;
    Poco::StreamCopier::copyStream(session.receiveResponse(response), ignored);
}

} // namespace

ReplicationLink::ReplicationLink(std::string ownName) : serverName(std::move(ownName)), thread([this] { this->run(); })
{
}

ReplicationLink::~ReplicationLink()
{
    {
        const std::scoped_lock lock(this->mutex);
        this->stopping = true;
    }
    this->changed.notify_all();
    this->thread.join();
}

void ReplicationLink::setAddress(const std::string &newAddress)
{
    const std::scoped_lock lock(this->mutex);
    this->address = newAddress;
}

void ReplicationLink::send(ReplicationMessage message)
{
    {
        const std::scoped_lock lock(this->mutex);
        if (this->address.empty())
            return;
        this->messages.push_back(std::move(message));
        if (this->messages.size() > queueLimit)
            this->messages.pop_front();
    }
    this->changed.notify_all();
}

void ReplicationLink::run()
{
    std::unique_ptr<Poco::Net::HTTPClientSession> session;
    std::string connectedTo;
    while (true) {
        ReplicationMessage message;
        std::string target;
        {
            std::unique_lock lock(this->mutex);
            this->changed.wait(lock, [this] { return this->stopping || !this->messages.empty(); });
            if (this->stopping)
                return;
            message = std::move(this->messages.front());
            this->messages.pop_front();
            target = this->address;
        }
        try {
            if (!session || connectedTo != target) {
                session = std::make_unique<Poco::Net::HTTPClientSession>(Poco::Net::SocketAddress(target));
                session->setKeepAlive(true);
                session->setKeepAliveTimeout(Poco::Timespan(3600, 0));
                session->setTimeout(deliveryTimeout);
                connectedTo = target;
            }
            sendMessage(*session, this->serverName, message);
        } catch (const Poco::Exception &) {
            session.reset();
        }
    }
}

} // namespace Jujubekeel
