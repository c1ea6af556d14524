#include "net/operatorserver.h"

#include "net/secrets.h"
#include "wire/callerjson.h"

#include <algorithm>
#include <cassert>
#include <cstddef>
#include <string_view>
#include <utility>

namespace Jujubekeel {

namespace {

HttpResponse errorResponse(ResultCode code, const std::string &text)
{
    nlohmann::ordered_json json;
    json["code"] = static_cast<std::uint16_t>(code);
    json["name"] = resultCodeInfo(code).name;
    json["text"] = text;
    return HttpResponse{.status = httpStatus(code), .body = dumpJson(json)};
}

} // namespace

OperatorServer::OperatorServer(HttpListenerOptions options, std::vector<std::string> operatorKeys,
                               OperatorFunctions operatorFunctions)
    : keys(std::move(operatorKeys)), functions(std::move(operatorFunctions)),
      listener(
          std::move(options), [this](const HttpRequest &request) { this->handle(request); }, [](std::uint64_t) {},
          errorResponse)
{
    assert(this->functions.status && this->functions.metrics && this->functions.rules && this->functions.explain
           && this->functions.preview && this->functions.trace && this->functions.drain);
}

void OperatorServer::start()
{
    this->listener.start();
}

void OperatorServer::stop(Duration wait)
{
    this->listener.stop(wait);
}

bool OperatorServer::isAuthorized(const HttpRequest &request) const
{
    if (this->keys.empty())
        return true;
    const std::string given = request.header("Operator-Key");
    return std::ranges::any_of(this->keys, [&](const std::string &key) { return equalSecrets(key, given); });
}

void OperatorServer::handle(const HttpRequest &request)
{
    this->listener.respond(request.exchangeId, this->makeResponse(request));
}

HttpResponse OperatorServer::makeResponse(const HttpRequest &request) const
{
    static constexpr std::string_view explainPath = "/v1/explain/";
    static constexpr std::string_view previewPath = "/v1/preview/";
    static constexpr std::string_view tracePath = "/v1/trace/";

    if (!this->isAuthorized(request))
        return errorResponse(ResultCode::Unauthorized, "header Operator-Key: missing or wrong");

    const std::string_view path = request.path;
    if (path == "/v1/drain") {
        if (request.method != "POST")
            return errorResponse(ResultCode::UnknownPath, "method " + request.method + ": POST is expected");
        this->functions.drain();
        return HttpResponse{.status = 202, .body = R"({"status":"stopping"})"};
    }
    if (request.method != "GET")
        return errorResponse(ResultCode::UnknownPath, "method " + request.method + ": GET is expected");
    if (path == "/v1/status")
        return HttpResponse{.body = this->functions.status()};
    if (path == "/v1/rules")
        return HttpResponse{.body = this->functions.rules()};
    if (path == "/metrics")
        return HttpResponse{.body = this->functions.metrics(), .contentType = "text/plain; version=0.0.4"};
    if (path.starts_with(explainPath)) {
        auto record = this->functions.explain(std::string(path.substr(explainPath.size())));
        if (!record)
            return errorResponse(ResultCode::NotFound, "no record of this request");
        return HttpResponse{.body = std::move(*record)};
    }
    if (path.starts_with(previewPath)) {
        FailureReason reason;
        auto decision = this->functions.preview(std::string(path.substr(previewPath.size())), reason);
        if (!decision)
            return errorResponse(reason.code(), reason.text());
        return HttpResponse{.body = std::move(*decision)};
    }
    if (path.starts_with(tracePath)) {
        auto record = this->functions.trace(std::string(path.substr(tracePath.size())));
        if (!record)
            return errorResponse(ResultCode::NotFound, "no spans of this trace");
        return HttpResponse{.body = std::move(*record)};
    }
    return errorResponse(ResultCode::UnknownPath, "path " + request.path + ": no such path");
}

} // namespace Jujubekeel
