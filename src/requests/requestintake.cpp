#include "requests/requestintake.h"

#include "core/world.h"
#include "observe/traceids.h"
#include "session/sessiontokencodec.h"

#include <algorithm>

namespace Jujubekeel {

bool RequestIntake::prepare(World &world, EntryRow &entry, const SessionTokenCodec &codec, FailureReason &reason)
{
    CallerRequest &request = entry.request;
    if (request.id.empty())
        request.id = makeUniqueName(world, "r");
    if (request.trace.traceId.empty()) {
        request.trace.traceId = makeTraceId(world);
        request.trace.sampled =
            world.counters.value("jujubekeel_requests_total") % 100 < world.options.trace.samplePercent;
    }
    entry.spanId = makeSpanId(world);

    // Check the fields.
    const auto database = world.databaseByName.find(request.database);
    if (database == world.databaseByName.end()) {
        reason.set(ResultCode::UnknownDatabase, "database \"" + request.database + "\" is not in the settings");
        return false;
    }
    entry.database = database->second;
    const bool needsStatement = request.kind == RequestKind::Read || request.kind == RequestKind::Write;
    if (needsStatement && request.statement.empty()) {
        reason.set(ResultCode::BadField, "field \"statement\" is empty; a read or write needs one");
        return false;
    }
    if (needsStatement && request.operation.empty()) {
        reason.set(ResultCode::BadField, "field \"operation\" is empty; rules are matched by it");
        return false;
    }
    const bool endsTransaction = request.kind == RequestKind::Commit || request.kind == RequestKind::Rollback;
    if (endsTransaction && request.transaction.empty()) {
        reason.set(ResultCode::BadField, "field \"transaction\" is empty; commit and rollback need it");
        return false;
    }
    if (request.kind == RequestKind::Begin && !request.transaction.empty()) {
        reason.set(ResultCode::BadField, "field \"transaction\" is set; begin opens a new transaction");
        return false;
    }

    // Set the deadline.
    const AdmissionOptions &admission = world.options.admission;
    const Duration timeout = request.timeout > Duration{0} ? request.timeout : admission.defaultTimeout;
    entry.deadline = world.now + std::min(timeout, admission.maxTimeout);

    // Check the state of this proxy. During a planned stop, open transactions may still finish.
    if (world.stopping && request.transaction.empty()) {
        reason.set(ResultCode::ProxyStopping, "instance " + world.selfName() + " is being stopped");
        return false;
    }
    if (!world.rules) {
        reason.set(ResultCode::NoRules, "no rule set has been received yet");
        return false;
    }

    if (!prepareSession(world, entry, codec, reason))
        return false;
    entry.hasCallerKey = !request.requestKey.empty();
    if (changesData(request.kind) && request.requestKey.empty())
        request.requestKey = makeUniqueName(world, "k");
    applyRules(world, entry);
    return true;
}

bool RequestIntake::prepareSession(World &world, EntryRow &entry, const SessionTokenCodec &codec, FailureReason &reason)
{
    CallerRequest &request = entry.request;
    if (request.token.empty()) {
        // An existing session without its token may have written through any proxy; a new session has written nothing.
        entry.markKnown = request.session.empty();
        if (request.session.empty())
            request.session = makeUniqueName(world, "s");
        return true;
    }

    const auto mark = codec.verify(request.token, reason);
    if (!mark)
        return false;
    if (mark->database != request.database) {
        reason.set(ResultCode::BadToken,
                   "the session token is for database \"" + mark->database + "\", not \"" + request.database + '"');
        return false;
    }
    if (!request.session.empty() && request.session != mark->session) {
        reason.set(ResultCode::BadToken, "the session token belongs to another session than Session-Id names");
        return false;
    }
    request.session = mark->session;
    entry.mark = mark->position;
    entry.markKnown = true;
    return true;
}

void RequestIntake::applyRules(const World &world, EntryRow &entry)
{
    const CallerRequest &request = entry.request;
    entry.decision.rulesVersion = world.rules->version();

    const Rule *rule = nullptr;
    if (request.kind == RequestKind::Read && request.transaction.empty()) {
        rule = world.rules->findReadAgeRule(request.database, request.operation);
        if (rule != nullptr)
            entry.acceptedAge = rule->age;
    } else if (changesData(request.kind)) {
        rule = world.rules->findNoRepeatRule(request.database, request.operation);
        entry.notRepeatable = rule != nullptr;
    }
    if (rule != nullptr) {
        entry.decision.ruleLine = rule->line;
        entry.decision.requester = rule->requester;
        entry.decision.rule = rule->text;
    }
}

} // namespace Jujubekeel
