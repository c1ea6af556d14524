#include "net/callerserver.h"

#include "net/boottime.h"
#include "net/randomid.h"
#include "net/recordstore.h"
#include "net/trafficcounters.h"
#include "wire/callerjson.h"

#include <cassert>
#include <optional>
#include <string_view>
#include <utility>

namespace Jujubekeel {

namespace {

constexpr std::string_view databasesPath = "/v1/databases/";
constexpr std::string_view requestsSuffix = "/requests";

/// Hexadecimal digits of the id of a request that is rejected before it reaches the core. The core assigns the ids of
/// all other requests.
constexpr std::size_t requestIdDigits = 16;

/// Name of the database in `/v1/databases/{database}/requests`; std::nullopt for any other path.
std::optional<std::string> databaseOf(std::string_view path)
{
    if (!path.starts_with(databasesPath) || !path.ends_with(requestsSuffix))
        return std::nullopt;
    if (path.size() <= databasesPath.size() + requestsSuffix.size())
        return std::nullopt;
    path.remove_prefix(databasesPath.size());
    path.remove_suffix(requestsSuffix.size());
    if (path.find('/') != std::string_view::npos)
        return std::nullopt;
    return std::string(path);
}

} // namespace

CallerServer::CallerServer(CallerServerOptions serverOptions, Post postFunction, RecordStore &recordStore,
                           TrafficCounters &trafficCounters)
    : options(std::move(serverOptions)), post(std::move(postFunction)), records(recordStore), counters(trafficCounters),
      listener(
          this->options.listener, [this](HttpCall call) { this->handle(std::move(call)); },
          [this](std::uint64_t exchange) { this->handleDisconnect(exchange); },
          [this](ResultCode code, const std::string &text) { return this->errorReply(code, text); })
{
    assert(this->post);
}

CallerServer::~CallerServer() = default;

void CallerServer::start()
{
    this->listener.start();
}

void CallerServer::stop(Duration wait)
{
    this->listener.stop(wait);
}

void CallerServer::announceStop()
{
    this->stopping = true;
}

std::size_t CallerServer::pendingCount() const
{
    const std::scoped_lock lock(this->mutex);
    return this->pending.size();
}

HttpReply CallerServer::errorReply(ResultCode code, const std::string &text) const
{
    CallerAnswer answer;
    answer.id = randomHex(requestIdDigits);
    answer.code = code;
    answer.text = text;
    this->counters.add("jujubekeel_malformed_requests_total{name=\"" + std::string(resultCodeInfo(code).name) + "\"}");
    return HttpReply{.status = httpStatus(code), .body = callerAnswerToJson(answer)};
}

void CallerServer::refuse(std::uint64_t exchange, ResultCode code, const std::string &text)
{
    this->listener.respond(exchange, this->errorReply(code, text));
}

void CallerServer::handle(HttpCall call)
{
    if (call.path == "/v1/health") {
        if (call.method != "GET") {
            this->refuse(call.exchange, ResultCode::UnknownPath, "method " + call.method + ": GET is expected");
            return;
        }
        nlohmann::ordered_json json;
        json["status"] = this->stopping ? "stopping" : "ok";
        json["instance"] = this->options.instance;
        this->listener.respond(call.exchange, HttpReply{.status = this->stopping ? 503 : 200, .body = dumpJson(json)});
        return;
    }
    auto database = databaseOf(call.path);
    if (!database) {
        this->refuse(call.exchange, ResultCode::UnknownPath, "path " + call.path + ": no such path");
        return;
    }
    if (call.method != "POST") {
        this->refuse(call.exchange, ResultCode::UnknownPath, "method " + call.method + ": POST is expected");
        return;
    }
    this->handleRequest(call, std::move(*database));
}

void CallerServer::handleRequest(HttpCall &call, std::string database)
{
    LastReason reason;
    auto request = callerRequestFromJson(call.body, reason);
    if (!request) {
        this->refuse(call.exchange, reason.code(), reason.text());
        return;
    }
    request->ticket = call.exchange;
    request->database = std::move(database);
    request->session = call.header("Session-Id");
    request->token = call.header("Session-Token");
    request->requestKey = call.header("Request-Key");
    request->caller = call.header("Caller");
    if (request->caller.empty())
        request->caller = call.clientAddress;
    if (auto trace = parseTraceparent(call.header("traceparent")))
        request->trace = std::move(*trace);

    // The core may answer as soon as the input is posted, so the entry is added before.
    Pending entry{.request = *request, .arrived = bootTime()};
    entry.request.statement.clear();
    entry.request.token.clear();
    {
        const std::scoped_lock lock(this->mutex);
        this->pending.emplace(call.exchange, std::move(entry));
    }
    this->post(CallerRequestArrived{.request = std::move(*request)});
}

void CallerServer::deliver(const CallerAnswer &answer)
{
    Pending entry;
    {
        const std::scoped_lock lock(this->mutex);
        auto node = this->pending.extract(answer.ticket);
        if (node.empty())
            return;
        entry = std::move(node.mapped());
    }
    this->records.addAnswer(entry.request, answer, bootTime() - entry.arrived);

    HttpReply reply{.status = httpStatus(answer.code), .body = callerAnswerToJson(answer)};
    if (!answer.session.empty())
        reply.headers.emplace_back("Session-Id", answer.session);
    if (!answer.token.empty())
        reply.headers.emplace_back("Session-Token", answer.token);
    if (!answer.trace.traceId.empty())
        reply.headers.emplace_back("traceparent", formatTraceparent(answer.trace));
    this->listener.respond(answer.ticket, std::move(reply));
}

void CallerServer::handleDisconnect(std::uint64_t exchange)
{
    {
        const std::scoped_lock lock(this->mutex);
        if (this->pending.erase(exchange) == 0)
            return;
    }
    this->counters.add("jujubekeel_callers_gone_total");
    this->post(CallerGone{.ticket = exchange});
}

} // namespace Jujubekeel
