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

HttpReply errorReply(ResultCode code, const std::string &text)
{
    nlohmann::ordered_json json;
    json["code"] = static_cast<std::uint16_t>(code);
    json["name"] = resultCodeInfo(code).name;
    json["text"] = text;
    return HttpReply{.status = httpStatus(code), .body = dumpJson(json)};
}

} // namespace

OperatorServer::OperatorServer(HttpListenerOptions options, std::vector<std::string> operatorKeys,
                               OperatorFunctions operatorFunctions)
    : keys(std::move(operatorKeys)), functions(std::move(operatorFunctions)),
      listener(
          std::move(options), [this](const HttpCall &call) { this->handle(call); }, [](std::uint64_t) {}, errorReply)
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

bool OperatorServer::isAuthorized(const HttpCall &call) const
{
    if (this->keys.empty())
        return true;
    const std::string given = call.header("Operator-Key");
    return std::ranges::any_of(this->keys, [&](const std::string &key) { return equalSecrets(key, given); });
}

void OperatorServer::handle(const HttpCall &call)
{
    this->listener.respond(call.exchange, this->reply(call));
}

HttpReply OperatorServer::reply(const HttpCall &call) const
{
    static constexpr std::string_view explainPath = "/v1/explain/";
    static constexpr std::string_view previewPath = "/v1/preview/";
    static constexpr std::string_view tracePath = "/v1/trace/";

    if (!this->isAuthorized(call))
        return errorReply(ResultCode::Unauthorized, "header Operator-Key: missing or wrong");

    const std::string_view path = call.path;
    if (path == "/v1/drain") {
        if (call.method != "POST")
            return errorReply(ResultCode::UnknownPath, "method " + call.method + ": POST is expected");
        this->functions.drain();
        return HttpReply{.status = 202, .body = R"({"status":"stopping"})"};
    }
    if (call.method != "GET")
        return errorReply(ResultCode::UnknownPath, "method " + call.method + ": GET is expected");
    if (path == "/v1/status")
        return HttpReply{.body = this->functions.status()};
    if (path == "/v1/rules")
        return HttpReply{.body = this->functions.rules()};
    if (path == "/metrics")
        return HttpReply{.body = this->functions.metrics(), .contentType = "text/plain; version=0.0.4"};
    if (path.starts_with(explainPath)) {
        auto record = this->functions.explain(std::string(path.substr(explainPath.size())));
        if (!record)
            return errorReply(ResultCode::NotFound, "no record of this request");
        return HttpReply{.body = std::move(*record)};
    }
    if (path.starts_with(previewPath)) {
        FailureReason reason;
        auto decision = this->functions.preview(std::string(path.substr(previewPath.size())), reason);
        if (!decision)
            return errorReply(reason.code(), reason.text());
        return HttpReply{.body = std::move(*decision)};
    }
    if (path.starts_with(tracePath)) {
        auto record = this->functions.trace(std::string(path.substr(tracePath.size())));
        if (!record)
            return errorReply(ResultCode::NotFound, "no spans of this trace");
        return HttpReply{.body = std::move(*record)};
    }
    return errorReply(ResultCode::UnknownPath, "path " + call.path + ": no such path");
}

} // namespace Jujubekeel
