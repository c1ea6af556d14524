#include "requests/outcomereport.h"

#include "core/world.h"

#include <algorithm>
#include <utility>

namespace Jujubekeel {

namespace {

std::string outcomeEvent(Execution execution)
{
    switch (execution) {
    case Execution::NotRun:
        return "request-not-run";
    case Execution::Unknown:
        return "request-unknown";
    case Execution::Failed:
        return "request-failed";
    case Execution::Ran:
        break;
    }
    return "request-ok";
}

void countOutcome(World &world, const EntryRow &entry, ResultCode code, bool fromReplica)
{
    const ResultCodeInfo &info = resultCodeInfo(code);
    std::string outcome(executionName(info.execution));
    std::ranges::replace(outcome, ' ', '_');
    world.counters.add("jujubekeel_requests_finished_total{outcome=\"" + outcome + "\"}");
    if (code != ResultCode::Ok) {
        world.counters.add("jujubekeel_results_total{code=\"" + std::to_string(static_cast<unsigned>(code)) + "\"}");
        return;
    }
    if (entry.request.kind == RequestKind::Read && entry.request.transaction.empty()) {
        world.counters.add(fromReplica ? "jujubekeel_reads_total{server=\"replica\"}"
                                       : "jujubekeel_reads_total{server=\"primary\"}");
        if (entry.acceptedAge)
            world.counters.add("jujubekeel_reads_eligible_total");
    }
}

void emitSpan(World &world, const EntryRow &entry, ResultCode code, Actions &actions)
{
    const bool slow = world.now - entry.arrived > world.options.trace.slow;
    if (!entry.request.trace.sampled && code == ResultCode::Ok && !slow)
        return;
    Span span{.traceId = entry.request.trace.traceId,
              .spanId = entry.spanId,
              .parentSpan = entry.request.trace.parentSpan,
              .name = "entry",
              .start = entry.arrived,
              .end = world.now,
              .attributes = {{"instance", world.selfName()},
                             {"failure_domain", world.layout.at(world.self).failureDomain},
                             {"request", entry.request.id},
                             {"database", entry.request.database},
                             {"operation", entry.request.operation},
                             {"result_code", std::to_string(static_cast<unsigned>(code))},
                             {"backend_server", entry.decision.backend},
                             {"attempts", std::to_string(entry.decision.attempts)},
                             {"reason", entry.decision.reason}}};
    if (entry.decision.ruleLine != 0) {
        span.attributes.emplace_back("rule_line", std::to_string(entry.decision.ruleLine));
        span.attributes.emplace_back("requester", entry.decision.requester);
    }
    actions.emplace_back(EmitSpan{.span = std::move(span)});
}

void logOutcome(const World &world, const EntryRow &entry, ResultCode code, const std::string &text, Actions &actions)
{
    if (code == ResultCode::Ok)
        return;
    WriteLog entryLog{.level = LogLevel::Warning,
                      .event = outcomeEvent(resultCodeInfo(code).execution),
                      .fields = {{"trace", entry.request.trace.traceId},
                                 {"request", entry.request.id},
                                 {"session", entry.request.session},
                                 {"caller", entry.request.caller},
                                 {"database", entry.request.database},
                                 {"operation", entry.request.operation},
                                 {"result_code", std::to_string(static_cast<unsigned>(code))},
                                 {"reason", text},
                                 {"attempts", std::to_string(entry.decision.attempts)},
                                 {"duration_us", std::to_string((world.now - entry.arrived).count())}}};
    if (entry.decision.ruleLine != 0) {
        entryLog.fields.emplace_back("rule_line", std::to_string(entry.decision.ruleLine));
        entryLog.fields.emplace_back("requester", entry.decision.requester);
    }
    actions.emplace_back(std::move(entryLog));
}

} // namespace

void OutcomeReport::write(World &world, const EntryRow &entry, ResultCode code, const std::string &text,
                          bool fromReplica, Actions &actions)
{
    countOutcome(world, entry, code, fromReplica);
    emitSpan(world, entry, code, actions);
    logOutcome(world, entry, code, text, actions);
}

} // namespace Jujubekeel
