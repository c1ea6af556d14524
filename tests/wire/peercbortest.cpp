#include "wire/peercbor.h"
#include "wire/cborcheck.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <string>
#include <vector>

namespace Jujubekeel {

namespace {

constexpr const char *longText = "a text that is longer than the string class keeps within the object itself";

FleetLayout makeLayout()
{
    FleetLayout layout;
    layout.instances = {{.name = "one-1"}, {.name = "two-1"}, {.name = "two-2"}};
    layout.databases = {{.name = "orders"}, {.name = "stock"}};
    layout.backends = {{.name = "orders-a", .database = DatabaseId{.index = 0, .generation = 0}},
                       {.name = "orders-b", .database = DatabaseId{.index = 0, .generation = 0}},
                       {.name = "stock-a", .database = DatabaseId{.index = 1, .generation = 0}}};
    return layout;
}

/// The same instances, databases and servers in another order, as another instance may have them in its settings.
FleetLayout makeReorderedLayout()
{
    FleetLayout layout = makeLayout();
    std::ranges::reverse(layout.instances);
    std::ranges::reverse(layout.databases);
    std::ranges::reverse(layout.backends);
    for (BackendSettings &backend : layout.backends)
        backend.database.index = 1 - backend.database.index;
    return layout;
}

BackendId backendAt(std::uint32_t index)
{
    return BackendId{.index = index, .generation = 0};
}

TermHistory makeHistory()
{
    const std::vector<TermStart> starts{{.term = 1, .start = 0}, {.term = 4, .start = 70}};
    return TermHistory(starts);
}

/// One message of each kind with every field set to a value that is not its default.
std::vector<PeerMessage> makeMessages()
{
    const LogPosition position{.term = 4, .position = 71};
    Heartbeat heartbeat{.incarnation = 1'796'362'586'062'833,
                        .sentAt = Duration{123'456'789},
                        .echo = Duration{42},
                        .echoIncarnation = 7,
                        .rulesVersion = 3,
                        .leaving = true};
    heartbeat.owned.push_back(BackendReport{.backend = backendAt(1),
                                            .primary = true,
                                            .applied = position,
                                            .received = {.term = 4, .position = 80},
                                            .history = makeHistory(),
                                            .confirmedAge = Duration{0},
                                            .queueLength = 12,
                                            .closing = true});
    heartbeat.owned.push_back(BackendReport{.backend = backendAt(2)});

    ForwardRequest request{.forwardId = 99, .backend = backendAt(0)};
    request.request = CallerRequest{
        .ticket = 5,
        .id = "r-1",
        .database = "orders",
        .caller = "shop \"north\"",
        .session = "s-1",
        .token = longText,
        .operation = "order.book",
        .kind = RequestKind::Commit,
        .statement = "put k v\n\xc3\xb6",
        .requestKey = "key-1",
        .transaction = "t-1",
        .timeout = Duration{4'900'000},
        .trace = {.traceId = "0af7651916cd43dd8448eb211c80319c", .parentSpan = "b7ad6b7169203331", .sampled = true}};
    request.mark = position;
    request.term = 4;
    request.barrier = true;
    request.notRepeatable = true;
    request.lookup = true;

    const ForwardAnswer answer{.forwardId = 99,
                               .code = ResultCode::CommitUnconfirmed,
                               .text = "text",
                               .value = "value",
                               .transaction = "t-1",
                               .position = position,
                               .history = makeHistory(),
                               .repeated = true,
                               .primary = backendAt(1)};
    const InstanceId holder{.index = 2, .generation = 0};
    const DatabaseId database{.index = 1, .generation = 0};
    return {heartbeat,
            RulesUpdate{.version = 8, .text = "leaving backend orders-a # operator"},
            RulesQuery{.knownVersion = 7},
            PromotionNotice{.database = database, .primary = backendAt(2), .start = {.term = 5, .start = 71}},
            Handover{.backend = backendAt(1)},
            request,
            answer,
            HolderQuery{.backend = backendAt(1), .holder = holder},
            HolderAnswer{.backend = backendAt(1), .holder = holder, .heard = true},
            WritePause{.database = database, .term = 4, .paused = true, .duration = Duration{3'000'000}},
            WritesDrained{.database = database, .term = 4, .position = position}};
}

std::string cborOf(const nlohmann::json &json)
{
    std::string bytes;
    nlohmann::json::to_cbor(json, bytes);
    return bytes;
}

} // namespace

// Guards against a field that is written and not read, or the other way round: encoding the decoded message must give
// the same bytes, and the bytes must contain every field of the message.
TEST(PeerCbor, EveryKindIsUnchangedByARoundTrip)
{
    const FleetLayout layout = makeLayout();
    const std::vector<PeerMessage> messages = makeMessages();
    ASSERT_EQ(messages.size(), std::variant_size_v<PeerMessage>);
    for (std::size_t index = 0; index < messages.size(); ++index) {
        ASSERT_EQ(messages[index].index(), index);
        const std::string bytes = encodePeerMessage(messages[index], layout);
        FailureReason reason;
        const auto decoded = decodePeerMessage(bytes, layout, reason);
        ASSERT_TRUE(decoded) << peerMessageKind(messages[index]) << ": " << reason.text();
        EXPECT_EQ(decoded->index(), index);
        EXPECT_EQ(encodePeerMessage(*decoded, layout), bytes) << peerMessageKind(messages[index]);
    }
}

// Guards against members that are neither written nor read, which a comparison of bytes does not show: compares all
// members of the two messages with the most fields.
TEST(PeerCbor, AllMembersOfRequestsAndHeartbeatsAreDecoded)
{
    const FleetLayout layout = makeLayout();
    const std::vector<PeerMessage> messages = makeMessages();
    FailureReason reason;

    const auto &sentHeartbeat = std::get<Heartbeat>(messages[0]);
    const auto heartbeat =
        std::get<Heartbeat>(decodePeerMessage(encodePeerMessage(messages[0], layout), layout, reason).value());
    EXPECT_EQ(heartbeat.incarnation, sentHeartbeat.incarnation);
    EXPECT_EQ(heartbeat.sentAt, sentHeartbeat.sentAt);
    EXPECT_EQ(heartbeat.echo, sentHeartbeat.echo);
    EXPECT_EQ(heartbeat.echoIncarnation, sentHeartbeat.echoIncarnation);
    EXPECT_EQ(heartbeat.rulesVersion, sentHeartbeat.rulesVersion);
    EXPECT_TRUE(heartbeat.leaving);
    ASSERT_EQ(heartbeat.owned.size(), 2U);
    EXPECT_EQ(heartbeat.owned[0].backend, sentHeartbeat.owned[0].backend);
    EXPECT_TRUE(heartbeat.owned[0].primary);
    EXPECT_EQ(heartbeat.owned[0].applied, sentHeartbeat.owned[0].applied);
    EXPECT_EQ(heartbeat.owned[0].received, sentHeartbeat.owned[0].received);
    EXPECT_EQ(heartbeat.owned[0].history, sentHeartbeat.owned[0].history);
    EXPECT_EQ(heartbeat.owned[0].confirmedAge, Duration{0});
    EXPECT_EQ(heartbeat.owned[0].queueLength, 12U);
    EXPECT_TRUE(heartbeat.owned[0].closing);
    EXPECT_EQ(heartbeat.owned[1].confirmedAge, Duration{-1}) << "an unknown age must not become a known one";

    const auto &sent = std::get<ForwardRequest>(messages[5]);
    const auto received =
        std::get<ForwardRequest>(decodePeerMessage(encodePeerMessage(messages[5], layout), layout, reason).value());
    EXPECT_EQ(received.forwardId, sent.forwardId);
    EXPECT_EQ(received.backend, sent.backend);
    EXPECT_EQ(received.mark, sent.mark);
    EXPECT_EQ(received.term, sent.term);
    EXPECT_TRUE(received.barrier);
    EXPECT_TRUE(received.notRepeatable);
    EXPECT_TRUE(received.lookup);
    EXPECT_EQ(received.request.ticket, sent.request.ticket);
    EXPECT_EQ(received.request.id, sent.request.id);
    EXPECT_EQ(received.request.database, sent.request.database);
    EXPECT_EQ(received.request.caller, sent.request.caller);
    EXPECT_EQ(received.request.session, sent.request.session);
    EXPECT_EQ(received.request.token, sent.request.token);
    EXPECT_EQ(received.request.operation, sent.request.operation);
    EXPECT_EQ(received.request.kind, sent.request.kind);
    EXPECT_EQ(received.request.statement, sent.request.statement);
    EXPECT_EQ(received.request.requestKey, sent.request.requestKey);
    EXPECT_EQ(received.request.transaction, sent.request.transaction);
    EXPECT_EQ(received.request.timeout, sent.request.timeout);
    EXPECT_EQ(received.request.trace.traceId, sent.request.trace.traceId);
    EXPECT_EQ(received.request.trace.parentSpan, sent.request.trace.parentSpan);
    EXPECT_TRUE(received.request.trace.sampled);
}

// Guards against sending ids instead of names: an id means another server if the receiver's settings have another
// order.
TEST(PeerCbor, IdsAreTranslatedByName)
{
    const FleetLayout other = makeReorderedLayout();
    FailureReason reason;
    const PeerMessage sent = Handover{.backend = backendAt(0)};
    const auto decoded = decodePeerMessage(encodePeerMessage(sent, makeLayout()), other, reason);
    ASSERT_TRUE(decoded) << reason.text();
    EXPECT_EQ(other.at(std::get<Handover>(*decoded).backend).name, "orders-a");
}

// Guards against instances that reject each other's heartbeats while new settings are rolled out.
TEST(PeerCbor, ReportsAboutUnknownServersAreSkipped)
{
    FleetLayout smaller = makeLayout();
    smaller.backends.pop_back();
    FailureReason reason;
    const auto decoded = decodePeerMessage(encodePeerMessage(makeMessages()[0], makeLayout()), smaller, reason);
    ASSERT_TRUE(decoded) << reason.text();
    EXPECT_EQ(std::get<Heartbeat>(*decoded).owned.size(), 1U);
}

// Guards against accepting messages with a part that is unknown or out of range.
TEST(PeerCbor, MalformedMessagesAreRejectedWithTheField)
{
    const FleetLayout layout = makeLayout();
    const std::vector<std::pair<nlohmann::json, std::string>> cases{
        {{{"k", "no-such-kind"}}, "field k"},
        {{{"version", 3}}, "field k"},
        {{{"k", "handover"}}, "field backend"},
        {{{"k", "handover"}, {"backend", "stock-z"}}, "field backend"},
        {{{"k", "holder-query"}, {"backend", "stock-a"}, {"holder", "three-1"}}, "field holder"},
        {{{"k", "promotion-notice"}, {"database", "orders"}, {"primary", "stock-a"}}, "field primary"},
        {{{"k", "rules-update"}, {"version", "3"}}, "field version"},
        {{{"k", "rules-update"}, {"version", -3}}, "field version"},
        {{{"k", "heartbeat"}, {"owned", {{{"b", "orders-a"}, {"h", {1, 0, 1, 0}}}}}}, "field owned"},
        {{{"k", "heartbeat"}, {"owned", {{{"b", "orders-a"}, {"q", 5'000'000'000}}}}}, "field owned"},
        {{{"k", "heartbeat"}, {"at", std::uint64_t{1} << 63U}}, "field at"},
        {{{"k", "forward-request"}, {"backend", "orders-a"}, {"kind", 9}}, "field kind"},
        {{{"k", "forward-answer"}, {"code", 9}}, "field code"},
        {{{"k", "forward-answer"}, {"position", {1}}}, "field position"},
        {nlohmann::json::array({1, 2}), "byte 0"},
    };
    for (const auto &[json, place] : cases) {
        FailureReason reason;
        EXPECT_FALSE(decodePeerMessage(cborOf(json), layout, reason)) << json;
        EXPECT_NE(reason.text().find(place), std::string::npos) << json << " gave: " << reason.text();
    }
}

// Guards against input that exhausts the stack of the JSON library's recursive decoder.
TEST(PeerCbor, DeeplyNestedInputIsRejected)
{
    const FleetLayout layout = makeLayout();
    for (const char head : {'\x81', '\x9f', '\x7f', '\x5f', '\xa1', '\xbf', '\xc1'}) {
        FailureReason reason;
        EXPECT_FALSE(decodePeerMessage(std::string(1'000'000, head), layout, reason));
        EXPECT_EQ(reason.code(), ResultCode::MalformedRequest);
    }
}

// Guards against a truncated message that is accepted as complete.
TEST(PeerCbor, EveryTruncationIsRejected)
{
    const FleetLayout layout = makeLayout();
    for (const PeerMessage &message : makeMessages()) {
        const std::string bytes = encodePeerMessage(message, layout);
        for (std::size_t length = 0; length < bytes.size(); ++length) {
            FailureReason reason;
            EXPECT_FALSE(decodePeerMessage(std::string_view(bytes).substr(0, length), layout, reason));
        }
        FailureReason reason;
        EXPECT_FALSE(decodePeerMessage(bytes + '\0', layout, reason));
    }
}

namespace {

rc::detail::TestParams fixedSeed(std::uint64_t seed)
{
    rc::detail::TestParams params;
    params.seed = seed;
    params.maxSuccess = 2000;
    params.maxSize = 200;
    return params;
}

void expectHolds(const rc::detail::TestResult &result)
{
    std::ostringstream text;
    rc::detail::printResultMessage(result, text);
    EXPECT_TRUE(result.template is<rc::detail::SuccessResult>()) << text.str();
}

} // namespace

// Guards against arbitrary bytes that crash the decoder or are accepted although the result cannot be encoded again.
TEST(PeerCbor, ArbitraryBytesAreRejectedOrDecoded)
{
    const FleetLayout layout = makeLayout();
    expectHolds(rc::detail::checkTestable(
        [&](const std::string &bytes) {
            FailureReason reason;
            const auto decoded = decodePeerMessage(bytes, layout, reason);
            if (decoded)
                RC_ASSERT(!encodePeerMessage(*decoded, layout).empty());
            else
                RC_ASSERT(!reason.text().empty());
        },
        rc::detail::TestMetadata{}, fixedSeed(20261204)));
}

// Guards against the same with valid messages of which some bytes are changed, because these pass more of the checks.
TEST(PeerCbor, MessagesWithChangedBytesAreRejectedOrDecoded)
{
    const FleetLayout layout = makeLayout();
    std::vector<std::string> valid;
    for (const PeerMessage &message : makeMessages())
        valid.push_back(encodePeerMessage(message, layout));
    expectHolds(rc::detail::checkTestable(
        [&] {
            std::string bytes = *rc::gen::elementOf(valid);
            const auto changes = *rc::gen::container<std::vector<std::pair<unsigned, unsigned char>>>(
                rc::gen::pair(rc::gen::arbitrary<unsigned>(), rc::gen::arbitrary<unsigned char>()));
            for (const auto &[place, value] : changes)
                bytes[place % bytes.size()] = static_cast<char>(value);
            FailureReason reason;
            const auto decoded = decodePeerMessage(bytes, layout, reason);
            if (decoded)
                RC_ASSERT(!encodePeerMessage(*decoded, layout).empty());
            else
                RC_ASSERT(!reason.text().empty());
        },
        rc::detail::TestMetadata{}, fixedSeed(4122026)));
}

} // namespace Jujubekeel
