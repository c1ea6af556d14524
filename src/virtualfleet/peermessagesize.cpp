#include "virtualfleet/peermessagesize.h"

#include <type_traits>
#include <variant>

namespace Jujubekeel {

namespace {

std::uint64_t textBytes(const CallerRequest &request)
{
    return request.id.size() + request.database.size() + request.caller.size() + request.session.size()
           + request.token.size() + request.operation.size() + request.statement.size() + request.requestKey.size()
           + request.transaction.size() + request.trace.traceId.size() + request.trace.parentSpan.size();
}

} // namespace

std::uint64_t estimateBytes(const PeerMessage &message)
{
    constexpr std::uint64_t frame = 16; // frame header, message type and field names of a compact form
    constexpr std::uint64_t number = 8; // one integer
    return std::visit(
        [](const auto &content) -> std::uint64_t {
            using Content = std::decay_t<decltype(content)>;
            if constexpr (std::is_same_v<Content, Heartbeat>) {
                std::uint64_t size = frame + 5 * number;
                for (const BackendReport &report : content.owned)
                    size += 8 * number + report.history.starts().size() * 2 * number;
                return size;
            } else if constexpr (std::is_same_v<Content, RulesUpdate>) {
                return frame + number + content.text.size();
            } else if constexpr (std::is_same_v<Content, ForwardRequest>) {
                return frame + 8 * number + textBytes(content.request);
            } else if constexpr (std::is_same_v<Content, ForwardAnswer>) {
                return frame + 6 * number + content.text.size() + content.value.size() + content.transaction.size()
                       + content.history.starts().size() * 2 * number;
            } else {
                return frame + 3 * number;
            }
        },
        message);
}

} // namespace Jujubekeel
