#include "net/diagnosticstore.h"

#include "wire/callerjson.h"
#include "wire/spanjson.h"

#include <utility>

namespace Jujubekeel {

namespace {

nlohmann::ordered_json requestToJson(const CallerRequest &request, const CallerAnswer &answer, Duration duration)
{
    nlohmann::ordered_json json;
    json["id"] = answer.id;
    json["database"] = request.database;
    json["operation"] = request.operation;
    json["kind"] = requestKindName(request.kind);
    json["caller"] = request.caller;
    json["session"] = answer.session;
    json["trace"] = answer.trace.traceId;
    json["duration_ms"] = std::chrono::duration<double, std::milli>(duration).count();
    return json;
}

} // namespace

DiagnosticStore::DiagnosticStore(std::size_t maxAnswers, std::size_t maxSpans)
    : answerLimit(maxAnswers), spanLimit(maxSpans)
{
}

void DiagnosticStore::addAnswer(const CallerRequest &request, const CallerAnswer &answer, Duration duration)
{
    const ResultCodeInfo &info = resultCodeInfo(answer.code);
    nlohmann::ordered_json json = requestToJson(request, answer, duration);
    json["code"] = static_cast<std::uint16_t>(answer.code);
    json["name"] = info.name;
    json["execution"] = executionName(info.execution);
    json["text"] = answer.text;
    json["transaction"] = answer.transaction;
    json["position"] = {{"term", answer.position.term}, {"position", answer.position.position}};
    json["from_replica"] = answer.fromReplica;
    json["repeated"] = answer.repeated;
    json["decision"] = decisionToJson(answer.decision);
    this->addRecord(answer.id, dumpJson(json));
}

void DiagnosticStore::addRecord(const std::string &id, std::string record)
{
    const std::scoped_lock lock(this->mutex);
    if (!this->answers.insert_or_assign(id, std::move(record)).second)
        return;
    this->answerOrder.push_back(id);
    while (this->answerOrder.size() > this->answerLimit) {
        this->answers.erase(this->answerOrder.front());
        this->answerOrder.pop_front();
    }
}

void DiagnosticStore::addSpan(const Span &span)
{
    std::string text = dumpJson(spanToJson(span));
    const std::scoped_lock lock(this->mutex);
    this->spans[span.traceId].push_back(std::move(text));
    this->spanOrder.push_back(span.traceId);
    while (this->spanOrder.size() > this->spanLimit) {
        const auto found = this->spans.find(this->spanOrder.front());
        found->second.pop_front();
        if (found->second.empty())
            this->spans.erase(found);
        this->spanOrder.pop_front();
    }
}

std::optional<std::string> DiagnosticStore::explain(const std::string &requestId) const
{
    const std::scoped_lock lock(this->mutex);
    const auto found = this->answers.find(requestId);
    if (found == this->answers.end())
        return std::nullopt;
    return found->second;
}

std::optional<std::string> DiagnosticStore::trace(const std::string &traceId) const
{
    const std::scoped_lock lock(this->mutex);
    const auto found = this->spans.find(traceId);
    if (found == this->spans.end())
        return std::nullopt;
    std::string text = R"({"trace":")" + traceId + R"(","spans":[)";
    bool first = true;
    for (const std::string &span : found->second) {
        if (!first)
            text += ',';
        text += span;
        first = false;
    }
    return text + "]}";
}

} // namespace Jujubekeel
