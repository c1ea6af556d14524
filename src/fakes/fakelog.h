#pragma once

#include "core/backendmessages.h"
#include "core/time.h"
#include "fakes/fakebackend.h"
#include "fakes/fakestatements.h"
#include "session/logposition.h"
#include "session/termhistory.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Jujubekeel {

/// Log of a fake backend server with its term history, its request keys and the data that results from the applied
/// entries. Owned by FakeBackend.
class FakeLog final
{
public:
    using Entry = ReplicationAppend::Entry;

    /// Empty log in term 1.
    FakeLog();

    /// Position of the last stored entry; 0 if the log is empty.
    [[nodiscard]] std::uint64_t end() const { return this->stored.size(); }
    /// Position of the last applied entry.
    [[nodiscard]] std::uint64_t applied() const { return this->appliedEnd; }
    /// Log position with the last term that starts at or before \a position.
    [[nodiscard]] LogPosition positionAt(std::uint64_t position) const;
    [[nodiscard]] std::uint64_t term() const { return this->terms.lastTerm(); }
    [[nodiscard]] const TermHistory &history() const { return this->terms; }
    [[nodiscard]] const std::vector<Entry> &entries() const { return this->stored; }
    /// Data at the applied position. A primary runs a write here before it appends the entry.
    [[nodiscard]] FakeData &data() { return this->values; }

    // Primary.
    /// Starts a term at the end of the log; all entries must be applied.
    void startTerm(std::uint64_t term);
    /// Appends an entry whose statements have run on data().
    LogPosition append(const std::string &key, const std::string &statements, const std::string &value);

    // Replica.
    /// Truncates the entries that the primary's log does not contain and stores those that follow the end of this log.
    void receive(TimePoint now, const ReplicationAppend &append);
    void applyAll();
    /// Applies the entries that were received at least \a lag ago.
    void applyDue(TimePoint now, Duration lag);
    /// Time at which applyDue() must be called next.
    [[nodiscard]] TimePoint nextApply(Duration lag) const;

    // Request keys.
    /// Outcome of the write with this request key; std::nullopt if the log does not hold the key.
    [[nodiscard]] std::optional<BackendAnswer> findOutcome(const std::string &key) const;
    /// Duplicate or KeyReused if the log holds the key, std::nullopt otherwise. An empty key means that the write has
    /// none.
    [[nodiscard]] std::optional<BackendAnswer> answerStoredKey(const std::string &key,
                                                               const std::string &statements) const;

private:
    void applyNext();
    void truncate(std::uint64_t position);
    /// Truncates the entries that the log of a primary with history \a other does not contain.
    void adoptHistory(const TermHistory &other);

    std::vector<Entry> stored;
    TermHistory terms;
    std::map<std::string, std::uint64_t, std::less<>> keys; ///< request key to position
    std::uint64_t appliedEnd = 0;
    std::deque<TimePoint> receivedAt; ///< receive times of the entries after `appliedEnd`
    FakeData values;
};

} // namespace Jujubekeel
