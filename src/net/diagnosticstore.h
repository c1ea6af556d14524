#pragma once

#include "core/action.h"
#include "core/callermessages.h"

#include <cstddef>
#include <deque>
#include <mutex>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace Jujubekeel {

/// Bounded store of answers by request id and of spans by trace id, for `explain` and `trace`. The oldest entries are
/// evicted first. Holds no statements, values or tokens. Owned by ProxyDaemon; any thread.
class DiagnosticStore final
{
public:
    DiagnosticStore(std::size_t answerLimit, std::size_t spanLimit);

    /// Stores the outcome of a request. \a request supplies the fields that are not in the answer.
    void addAnswer(const CallerRequest &request, const CallerAnswer &answer, Duration duration);
    void addSpan(const Span &span);

    /// JSON text; std::nullopt if the id is unknown or its entries were evicted.
    [[nodiscard]] std::optional<std::string> explain(const std::string &requestId) const;
    [[nodiscard]] std::optional<std::string> trace(const std::string &traceId) const;

private:
    void addRecord(const std::string &id, std::string record);

    std::size_t answerLimit;
    std::size_t spanLimit;
    mutable std::mutex mutex;
    std::unordered_map<std::string, std::string> answers;
    std::deque<std::string> answerOrder;
    std::unordered_map<std::string, std::deque<std::string>> spans; ///< by trace id, oldest first
    std::deque<std::string> spanOrder;                              ///< trace id of each span, oldest first
};

} // namespace Jujubekeel
