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

/// Stored log of a fake backend server with its term history, its request keys and the data that results from the
/// applied entries. Owned by FakeBackend.
class FakeLog final
{
public:
    using Entry = ReplicationAppend::Entry;

    /// Empty log in term 1.
    FakeLog();

    [[nodiscard]] std::uint64_t end() const { return this->stored.size(); }
    [[nodiscard]] std::uint64_t applied() const { return this->appliedEnd; }
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
    /// Cuts off what the primary does not share and stores the entries that follow the own end.
    void receive(TimePoint now, const ReplicationAppend &append);
    void applyAll();
    /// Applies the entries that were received at least \a lag ago.
    void applyDue(TimePoint now, Duration lag);
    /// When applyDue has something to do next.
    [[nodiscard]] TimePoint nextApply(Duration lag) const;

    // Request keys.
    /// First outcome of a request key, if it is stored.
    [[nodiscard]] std::optional<BackendAnswer> findOutcome(const std::string &key) const;
    /// Duplicate or KeyReused if the key is stored; an empty key is not.
    [[nodiscard]] std::optional<BackendAnswer> answerStoredKey(const std::string &key,
                                                               const std::string &statements) const;

private:
    void applyNext();
    void truncate(std::uint64_t position);
    /// Cuts off what the primary with history \a other does not share.
    void adoptHistory(const TermHistory &other);

    std::vector<Entry> stored;
    TermHistory terms;
    std::map<std::string, std::uint64_t, std::less<>> keys; ///< request key to position
    std::uint64_t appliedEnd = 0;
    std::deque<TimePoint> receivedAt; ///< of the entries after `appliedEnd`
    FakeData values;
};

} // namespace Jujubekeel
