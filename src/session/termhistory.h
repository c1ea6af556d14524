#pragma once

#include "session/logposition.h"

#include <cstdint>
#include <span>
#include <vector>

namespace Jujubekeel {

/// Start of a term in the log: entries up to `start` belong to earlier terms.
struct TermStart
{
    std::uint64_t term = 0;
    std::uint64_t start = 0;

    bool operator==(const TermStart &) const = default;
};

/// Whether a log contains the entry at a session's mark.
enum class MarkRelation : std::uint8_t {
    Contained,   ///< the log contains the entry
    NotReached,  ///< the log does not contain the entry yet
    NotSurvived, ///< a later term started before the entry and discarded it
};

/// Start positions of a database's terms in ascending order. A value type; used by the core and by the fake backend
/// server.
class TermHistory final
{
public:
    TermHistory() = default;
    explicit TermHistory(std::span<const TermStart> starts);

    /// Adds a term. A term that is not newer than the last one is ignored.
    void append(TermStart start);

    /// Whether a log with this history that ends at \a end contains the entry at \a mark.
    [[nodiscard]] MarkRelation relation(LogPosition end, LogPosition mark) const;

    [[nodiscard]] std::span<const TermStart> starts() const { return this->termStarts; }
    [[nodiscard]] std::uint64_t lastTerm() const { return this->termStarts.empty() ? 0 : this->termStarts.back().term; }

    bool operator==(const TermHistory &) const = default;

private:
    std::vector<TermStart> termStarts;
};

} // namespace Jujubekeel
