#include "admission/admissioncontrol.h"

#include "core/world.h"
#include "requests/transactionname.h"
#include "routing/router.h"

#include <algorithm>
#include <string>

namespace Jujubekeel {

namespace {

bool needsPrimary(const ForwardRequest &forward)
{
    return forward.lookup || forward.barrier || forward.request.kind != RequestKind::Read;
}

} // namespace

bool AdmissionControl::admit(World &world, ExecutionRow &row, ForwardAnswer &refusal)
{
    const ForwardRequest &forward = row.forward;
    if (!forward.request.transaction.empty() && !forward.lookup)
        return admitStatement(world, row, refusal);

    // This instance must own the server, and the server must accept new work and have the role and term that the entry
    // proxy expects.
    const BackendRow &backend = world.at(row.backend);
    const DatabaseRow &database = world.at(backend.database);
    if (backend.ownership.step != OwnershipStep::Owned) {
        refusal.code = ResultCode::NoOwner;
        refusal.text = "instance " + world.selfName() + " does not hold the connections of the backend server";
        return false;
    }
    if (Router::refusesNewWork(world, row.backend) && !forward.lookup) {
        refusal.code = ResultCode::BackendRefused;
        refusal.text = "the backend server is leaving";
        return false;
    }
    if (needsPrimary(forward) && database.primary != row.backend) {
        refusal.code = ResultCode::BackendRefused;
        refusal.text = "the backend server is not the primary";
        refusal.primary = database.primary;
        return false;
    }
    if (forward.term != 0 && forward.term != database.history.lastTerm()) {
        refusal.code = ResultCode::BackendRefused;
        refusal.text = "the primary has term " + std::to_string(database.history.lastTerm()) + ", not "
                       + std::to_string(forward.term);
        return false;
    }

    // The queue must have room, and the expected wait must fit into the time left.
    const AdmissionOptions &options = world.options.admission;
    const FairQueue &queue = world.workAt(row.backend).queue;
    if (queue.size() >= options.queueLimit || queue.sizeOf(forward.request.caller) >= options.callerQueueLimit) {
        refusal.code = ResultCode::QueueFull;
        refusal.text = "the queue of the backend server is full";
        world.counters.add("jujubekeel_shed_total{reason=\"queue_full\"}");
        return false;
    }
    const auto slots = static_cast<std::int64_t>(std::max<std::uint32_t>(1, world.layout.at(row.backend).slots));
    const Duration expectedWait = backend.serviceTime * static_cast<std::int64_t>(queue.size()) / slots;
    if (!database.writesPaused && expectedWait + backend.serviceTime > forward.request.timeout) {
        refusal.code = ResultCode::DeadlineTooShort;
        refusal.text =
            "the expected wait of " + std::to_string(expectedWait.count()) + " us is longer than the time left";
        world.counters.add("jujubekeel_shed_total{reason=\"deadline\"}");
        return false;
    }
    return true;
}

bool AdmissionControl::admitStatement(World &world, ExecutionRow &row, ForwardAnswer &refusal)
{
    const CallerRequest &request = row.forward.request;
    const auto name = TransactionName::parse(request.transaction);
    TransactionRow *transaction = nullptr;
    if (name && name->owner == world.selfName() && name->incarnation == world.incarnation)
        transaction = world.transactions.find(name->id);
    if (transaction == nullptr || transaction->backend != row.backend || transaction->session != request.session) {
        refusal.code = ResultCode::UnknownTransaction;
        refusal.text = "the transaction is not open";
        return false;
    }
    if (transaction->running.isValid()) {
        refusal.code = ResultCode::TransactionBusy;
        refusal.text = "a statement of the transaction is still running";
        return false;
    }
    row.transaction = name->id;
    transaction->lastUsed = world.now;
    return true;
}

} // namespace Jujubekeel
