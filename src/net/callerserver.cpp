#include "net/callerserver.h"

#include "net/boottime.h"
#include "net/diagnosticstore.h"
#include "net/randomid.h"
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

CallerServer::CallerServer(CallerServerOptions serverOptions, Post postFunction, DiagnosticStore &diagnosticStore,
                           TrafficCounters &trafficCounters)
    : options(std::move(serverOptions)), post(std::move(postFunction)), diagnostics(diagnosticStore),
      counters(trafficCounters),
      listener(
          this->options.listener, [this](HttpRequest httpRequest) { this->handle(std::move(httpRequest)); },
          [this](std::uint64_t exchangeId) { this->handleDisconnect(exchangeId); },
          [this](ResultCode code, const std::string &text) { return this->errorResponse(code, text); })
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

void CallerServer::failHealthChecks()
{
    this->stopping = true;
}

std::size_t CallerServer::pendingCount() const
{
    const std::scoped_lock lock(this->mutex);
    return this->pending.size();
}

HttpResponse CallerServer::errorResponse(ResultCode code, const std::string &text) const
{
    CallerAnswer answer;
    answer.id = randomHex(requestIdDigits);
    answer.code = code;
    answer.text = text;
    this->counters.add("jujubekeel_malformed_requests_total{name=\"" + std::string(resultCodeInfo(code).name) + "\"}");
    return HttpResponse{.status = httpStatus(code), .body = callerAnswerToJson(answer)};
}

void CallerServer::refuse(std::uint64_t exchangeId, ResultCode code, const std::string &text)
{
    this->listener.respond(exchangeId, this->errorResponse(code, text));
}

void CallerServer::handle(HttpRequest httpRequest)
{
    if (httpRequest.path == "/v1/health") {
        if (httpRequest.method != "GET") {
            this->refuse(httpRequest.exchangeId, ResultCode::UnknownPath,
                         "method " + httpRequest.method + ": GET is expected");
            return;
        }
        nlohmann::ordered_json json;
        json["status"] = this->stopping ? "stopping" : "ok";
        json["instance"] = this->options.instance;
        this->listener.respond(httpRequest.exchangeId,
                               HttpResponse{.status = this->stopping ? 503 : 200, .body = dumpJson(json)});
        return;
    }
    auto database = databaseOf(httpRequest.path);
    if (!database) {
        this->refuse(httpRequest.exchangeId, ResultCode::UnknownPath, "path " + httpRequest.path + ": no such path");
        return;
    }
    if (httpRequest.method != "POST") {
        this->refuse(httpRequest.exchangeId, ResultCode::UnknownPath,
                     "method " + httpRequest.method + ": POST is expected");
        return;
    }
    this->handleRequest(httpRequest, std::move(*database));
}

void CallerServer::handleRequest(HttpRequest &httpRequest, std::string database)
{
    FailureReason reason;
    auto request = callerRequestFromJson(httpRequest.body, reason);
    if (!request) {
        this->refuse(httpRequest.exchangeId, reason.code(), reason.text());
        return;
    }
    request->ticket = httpRequest.exchangeId;
    request->database = std::move(database);
    request->session = httpRequest.header("Session-Id");
    request->token = httpRequest.header("Session-Token");
    request->requestKey = httpRequest.header("Request-Key");
    request->caller = httpRequest.header("Caller");
    if (request->caller.empty())
        request->caller = httpRequest.clientAddress;
    if (auto trace = parseTraceparent(httpRequest.header("traceparent")))
        request->trace = std::move(*trace);

    // The core may answer as soon as the input is posted, so the entry is added before.
    Pending entry{.request = *request, .arrived = bootTime()};
    entry.request.statement.clear();
    entry.request.token.clear();
    {
        const std::scoped_lock lock(this->mutex);
        this->pending.emplace(httpRequest.exchangeId, std::move(entry));
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
    this->diagnostics.addAnswer(entry.request, answer, bootTime() - entry.arrived);

    HttpResponse response{.status = httpStatus(answer.code), .body = callerAnswerToJson(answer)};
    if (!answer.session.empty())
        response.headers.emplace_back("Session-Id", answer.session);
    if (!answer.token.empty())
        response.headers.emplace_back("Session-Token", answer.token);
    if (!answer.trace.traceId.empty())
        response.headers.emplace_back("traceparent", formatTraceparent(answer.trace));
    this->listener.respond(answer.ticket, std::move(response));
}

void CallerServer::handleDisconnect(std::uint64_t exchangeId)
{
    {
        const std::scoped_lock lock(this->mutex);
        if (this->pending.erase(exchangeId) == 0)
            return;
    }
    this->counters.add("jujubekeel_callers_gone_total");
    this->post(CallerDisconnected{.ticket = exchangeId});
}

} // namespace Jujubekeel
