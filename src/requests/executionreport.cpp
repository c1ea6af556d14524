#include "requests/executionreport.h"

#include "core/world.h"
#include "observe/traceids.h"

namespace Jujubekeel {

void ExecutionReport::write(World &world, const ExecutionRow &row, const ForwardAnswer &answer, Actions &actions)
{
    const bool slow = world.now - row.arrived > world.options.trace.slow;
    const TraceContext &trace = row.forward.request.trace;
    if (!trace.sampled && answer.code == ResultCode::Ok && !slow)
        return;
    const std::string ownerSpan = makeSpanId(world);
    const std::string &backend = world.layout.at(row.backend).name;
    actions.emplace_back(
        EmitSpan{.span = {.traceId = trace.traceId,
                          .spanId = ownerSpan,
                          .parentSpan = trace.parentSpan,
                          .name = "owner",
                          .start = row.arrived,
                          .end = world.now,
                          .attributes = {{"instance", world.selfName()},
                                         {"backend_server", backend},
                                         {"result_code", std::to_string(static_cast<unsigned>(answer.code))}}}});
    if (row.sentAt == TimePoint{0})
        return;
    const TimePoint answeredAt = row.answeredAt > TimePoint{0} ? row.answeredAt : world.now;
    actions.emplace_back(
        EmitSpan{.span = {.traceId = trace.traceId,
                          .spanId = makeSpanId(world),
                          .parentSpan = ownerSpan,
                          .name = "backend",
                          .start = row.sentAt,
                          .end = answeredAt,
                          .attributes = {{"instance", world.selfName()}, {"backend_server", backend}}}});
}

} // namespace Jujubekeel
