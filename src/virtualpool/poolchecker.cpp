#include "virtualpool/poolchecker.h"

#include <algorithm>
#include <map>
#include <string_view>

namespace Jujubekeel {

namespace {

/// Tells which commits survive all promotions, that is, were not rolled back.
class SurvivingLog
{
public:
    explicit SurvivingLog(const GroupHistory &groupHistory) : history(groupHistory) {}

    [[nodiscard]] bool survives(const GroupHistory::Commit &commit) const
    {
        return std::none_of(this->history.promotions.begin(), this->history.promotions.end(),
                            [&](const auto &promotion) {
                                if (promotion.term <= commit.position.term)
                                    return false;
                                return commit.position.position > promotion.base
                                       || promotion.log[commit.position.position - 1] != commit.position;
                            });
    }
    /// Whether a later primary had already been promoted when the commit was made.
    [[nodiscard]] bool isLate(const GroupHistory::Commit &commit) const
    {
        return std::any_of(
            this->history.promotions.begin(), this->history.promotions.end(),
            [&](const auto &promotion) { return promotion.term > commit.position.term && promotion.at < commit.at; });
    }

private:
    const GroupHistory &history;
};

Duration stalenessOf(const std::string &database)
{
    if (database == VirtualPool::boundedRoute)
        return std::chrono::milliseconds(1500);
    return database == VirtualPool::ownRoute ? Duration(std::chrono::milliseconds(2500)) : Duration{0};
}

/// Whether a log that ends at \a end contains a surviving commit. Terms never decrease along a log.
bool contains(LogPosition end, LogPosition commit)
{
    return end.term >= commit.term && end.position >= commit.position;
}

/// Statements that ran on a connection that was opened in another name than that of the caller's organisation.
std::vector<std::string> findWrongNames(const GroupHistory &history, const PoolWorkload &workload)
{
    std::map<std::string_view, std::string> nameOf;
    for (const PoolOperation &operation : workload.operations()) {
        for (const std::string &statement : operation.statements)
            nameOf[statement] =
                operation.organisation ? VirtualPool::organisationName(*operation.organisation) : std::string();
    }
    std::vector<std::string> violations;
    for (const GroupHistory::Run &run : history.runs) {
        const auto found = nameOf.find(run.id);
        if (found != nameOf.end() && found->second != run.organisation)
            violations.push_back("statement " + run.id + " of '" + found->second + "' ran in the name of '"
                                 + run.organisation + "'");
    }
    return violations;
}

struct Acknowledged
{
    TimePoint at{0};
    LogPosition position;
    std::size_t session = 0;
};

} // namespace

std::vector<std::string> findViolations(const StatementGroup &group, const PoolWorkload &workload)
{
    const GroupHistory &history = group.history();
    std::vector<std::string> violations = workload.mismatchedAnswers();
    violations.insert(violations.end(), history.misuse.begin(), history.misuse.end());
    const std::vector<std::string> wrongNames = findWrongNames(history, workload);
    violations.insert(violations.end(), wrongNames.begin(), wrongNames.end());
    const SurvivingLog log(history);
    std::map<std::string_view, const GroupHistory::Commit *> commitOf;
    std::map<std::string_view, int> runs;
    for (const GroupHistory::Commit &commit : history.commits) {
        commitOf[commit.commit] = &commit;
        for (const std::string &write : commit.writes) {
            if (log.survives(commit) && ++runs[write] > 1)
                violations.push_back("write " + write + " took effect twice");
        }
    }
    std::map<std::string_view, LogPosition> appliedAt;
    for (const GroupHistory::Read &read : history.reads)
        appliedAt[read.id] = read.applied;

    // Acknowledged commits, and commits whose caller was told that nothing was executed.
    std::vector<Acknowledged> acknowledged;
    for (const PoolOperation &operation : workload.operations()) {
        if (operation.writes.empty())
            continue;
        const auto found = commitOf.find(operation.commit);
        if (operation.reportedNotRun && found != commitOf.end() && log.survives(*found->second))
            violations.push_back("commit " + operation.commit
                                 + " was kept although its caller was told that it did not run");
        if (!operation.acknowledged)
            continue;
        if (found == commitOf.end()) {
            violations.push_back("commit " + operation.commit + " was acknowledged but no server executed it");
            continue;
        }
        if (log.isLate(*found->second))
            violations.push_back("commit " + operation.commit + " of a replaced primary was acknowledged");
        if (group.settings().syncReplicas > 0 && !log.survives(*found->second))
            violations.push_back("acknowledged commit " + operation.commit + " at " + toText(found->second->position)
                                 + " was lost by a promotion");
        if (log.survives(*found->second))
            acknowledged.push_back(
                {.at = operation.endedAt, .position = found->second->position, .session = operation.session});
    }

    // Reads.
    for (const PoolOperation &operation : workload.operations()) {
        for (const std::string &read : operation.reads) {
            const auto seen = appliedAt.find(read);
            if (seen == appliedAt.end()) {
                violations.push_back("read " + read + " was answered but no server executed it");
                continue;
            }
            const TimePoint bound = operation.startedAt - stalenessOf(operation.database);
            for (const Acknowledged &commit : acknowledged) {
                const bool own = operation.database == VirtualPool::ownRoute && operation.session == commit.session
                                 && operation.priorCommitAckedAt && commit.at <= *operation.priorCommitAckedAt;
                if ((commit.at < bound || own) && !contains(seen->second, commit.position))
                    violations.push_back("read " + read + " of route " + operation.database + ", started at "
                                         + std::to_string(operation.startedAt.count()) + " us, ended at "
                                         + std::to_string(operation.endedAt.count()) + ", on a log that ends at "
                                         + toText(seen->second) + ", lacks commit " + toText(commit.position)
                                         + " acknowledged at " + std::to_string(commit.at.count())
                                         + (own ? " in its own session" : ""));
            }
        }
    }
    return violations;
}

} // namespace Jujubekeel
