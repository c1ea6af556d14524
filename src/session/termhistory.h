#pragma once

#include "session/logposition.h"

#include <cstdint>
#include <span>
#include <vector>

namespace Jujubekeel {

/// First position that a term may write after: entries up to start belong to earlier terms.
struct TermStart
{
    std::uint64_t term = 0;
    std::uint64_t start = 0;

    bool operator==(const TermStart &) const = default;
};

/// How a log that ends at some position relates to a mark.
enum class MarkRelation : std::uint8_t {
    Contained,   ///< the log holds the marked entry
    NotReached,  ///< the log may reach the marked entry later
    NotSurvived, ///< the marked entry was discarded by a later term
};

/// Start positions of a database's terms in ascending order. A value type, owned by whoever holds it; used by the core
/// and by the fake backend server.
class TermHistory final
{
public:
    TermHistory() = default;
    explicit TermHistory(std::span<const TermStart> starts);

    /// Records a term. Terms not newer than the last one are ignored.
    void append(TermStart start);

    /// Compares the log that ends at \a end, with this history, with the entry at \a mark.
    [[nodiscard]] MarkRelation relation(LogPosition end, LogPosition mark) const;

    [[nodiscard]] std::span<const TermStart> starts() const { return this->termStarts; }
    [[nodiscard]] std::uint64_t lastTerm() const { return this->termStarts.empty() ? 0 : this->termStarts.back().term; }

    bool operator==(const TermHistory &) const = default;

private:
    std::vector<TermStart> termStarts;
};

} // namespace Jujubekeel
