#include "wire/backendjson.h"
#include "wire/replicationjson.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <array>

namespace Jujubekeel {

namespace {

const TermHistory history(std::array{TermStart{.term = 1, .start = 0}, TermStart{.term = 3, .start = 10}});

// Guards against fields that one side writes and the other does not read.
TEST(BackendJson, RequestKeepsAllFields)
{
    const BackendRequest request{.serial = 18446744073709551615U,
                                 .operation = BackendOperation::ExecuteInside,
                                 .instance = "p1",
                                 .statement = "put k \"v\" \n ü",
                                 .write = true,
                                 .requestKey = "key",
                                 .transaction = 7,
                                 .term = 3,
                                 .position = 12,
                                 .primary = "b",
                                 .wait = std::chrono::milliseconds(150)};
    FailureReason reason;
    const auto back = backendRequestFromText(toJsonText(request), reason);
    ASSERT_TRUE(back.has_value()) << reason.text();
    EXPECT_EQ(toJson(*back), toJson(request));
    EXPECT_EQ(back->serial, request.serial);
    EXPECT_EQ(back->statement, request.statement);
    EXPECT_EQ(back->wait, request.wait);
}

// Guards against operations or codes whose name is read as another one, or not at all.
TEST(BackendJson, EveryOperationAndCodeIsReadAsWritten)
{
    FailureReason reason;
    for (int index = 0; index <= static_cast<int>(BackendOperation::Rollback); ++index) {
        const BackendRequest request{.operation = static_cast<BackendOperation>(index)};
        const auto back = backendRequestFromJson(toJson(request), reason);
        ASSERT_TRUE(back.has_value()) << reason.text();
        EXPECT_EQ(back->operation, request.operation);
    }
    for (int index = 0; index <= static_cast<int>(BackendStatusCode::SlotsBusy); ++index) {
        const BackendAnswer answer{.code = static_cast<BackendStatusCode>(index)};
        const auto back = backendAnswerFromJson(toJson(answer), reason);
        ASSERT_TRUE(back.has_value()) << reason.text();
        EXPECT_EQ(back->code, answer.code);
    }
}

// Guards against a status that loses fields on which routing and promotion depend.
TEST(BackendJson, AnswerKeepsTheStatus)
{
    BackendAnswer answer{
        .serial = 4, .value = "v", .text = "t", .position = {.term = 3, .position = 12}, .transaction = 9};
    EXPECT_FALSE(toJson(answer).contains("status"));
    answer.status = ServerStatus{.role = BackendRole::Primary,
                                 .fencedTerm = 3,
                                 .fencedBy = "p1",
                                 .received = {.term = 3, .position = 12},
                                 .applied = {.term = 3, .position = 11},
                                 .history = history,
                                 .primary = "a",
                                 .primarySilence = std::chrono::milliseconds(5),
                                 .replicas = {{.server = "b", .received = {.term = 3, .position = 10}}},
                                 .connections = 5,
                                 .slotsInUse = 2,
                                 .lockHolder = "p2"};
    FailureReason reason;
    const auto back = backendAnswerFromText(toJsonText(answer), reason);
    ASSERT_TRUE(back.has_value()) << reason.text();
    EXPECT_EQ(toJson(*back), toJson(answer));
    EXPECT_EQ(back->status->history, history);
    EXPECT_EQ(back->status->replicas.at(0).received.position, 10U);
    EXPECT_EQ(back->status->slotsInUse, 2U);
}

// Guards against errors that do not say which field is wrong.
TEST(BackendJson, ErrorsNameTheField)
{
    FailureReason reason;
    EXPECT_FALSE(backendRequestFromText("{\"serial\":1,", reason).has_value());
    EXPECT_EQ(reason.code(), ResultCode::MalformedRequest);
    EXPECT_FALSE(backendRequestFromText("[]", reason).has_value());
    EXPECT_EQ(reason.text(), "message: an object is expected");
    EXPECT_FALSE(backendRequestFromText(R"({"serial":1})", reason).has_value());
    EXPECT_EQ(reason.code(), ResultCode::BadField);
    EXPECT_EQ(reason.text(), "field operation: missing");
    EXPECT_FALSE(backendRequestFromText(R"({"serial":-1,"operation":"status"})", reason).has_value());
    EXPECT_EQ(reason.text(), "field serial: a non-negative integer is expected");
    EXPECT_FALSE(backendRequestFromText(R"({"serial":1,"operation":"drop"})", reason).has_value());
    EXPECT_EQ(reason.text(), "field operation: unknown value: drop");
    EXPECT_FALSE(backendRequestFromText(R"({"serial":1,"operation":""})", reason).has_value());
    EXPECT_EQ(reason.text(), "field operation: unknown value: ");
    EXPECT_FALSE(backendRequestFromText(R"({"serial":1,"operation":"barrier","wait_us":18446744073709551615})", reason)
                     .has_value());
    EXPECT_EQ(reason.text(), "field wait_us: the number is too large");
    EXPECT_FALSE(backendAnswerFromText(R"({"serial":1,"code":"ok","position":{"term":1}})", reason).has_value());
    EXPECT_EQ(reason.text(), "field position.position: missing");
    EXPECT_FALSE(
        backendAnswerFromText(
            R"({"serial":1,"code":"ok","status":{"role":"replica","fenced_term":1,"replicas":[{"server":1}]}})", reason)
            .has_value());
    EXPECT_EQ(reason.text(), "field status.replicas[0].server: a string is expected");
    EXPECT_FALSE(backendLoginFromText(R"({"instance":"p1","control":1})", reason).has_value());
    EXPECT_EQ(reason.text(), "field control: true or false is expected");
}

// Guards against a term history out of order, with which a discarded write could be taken for one that survived.
TEST(BackendJson, HistoryOutOfOrderIsRejected)
{
    FailureReason reason;
    const auto json = nlohmann::json::parse(R"([{"term":3,"start":0},{"term":2,"start":5}])");
    EXPECT_FALSE(termHistoryFromJson(json, "history", reason).has_value());
    EXPECT_EQ(reason.text(), "field history[1]: terms must rise from 1 and starts must not fall");
}

// Guards against replication messages that lose request keys, terms or the history in encoding or decoding.
TEST(ReplicationJson, MessagesKeepAllFields)
{
    FailureReason reason;
    const ReplicationMessage append = ReplicationAppend{
        .term = 3,
        .history = history,
        .heartbeat = 17,
        .previous = 10,
        .entries = {{.term = 3, .requestKey = "key", .statements = "put k v\nappend l x", .value = "1"}},
        .promoter = "p1"};
    const ReplicationMessage acknowledge =
        ReplicationAcknowledge{.term = 3, .accepted = true, .heartbeat = 17, .received = {.term = 3, .position = 11}};
    for (const ReplicationMessage &message : {append, acknowledge}) {
        const auto back = replicationMessageFromJson(toJson(message), reason);
        ASSERT_TRUE(back.has_value()) << reason.text();
        EXPECT_EQ(toJson(*back), toJson(message));
    }
    const auto json = nlohmann::json::parse(R"({"kind":"append","term":1,"history":[],"heartbeat":1,"previous":0,
                                               "entries":[{"term":1}]})");
    EXPECT_FALSE(replicationMessageFromJson(json, reason).has_value());
    EXPECT_EQ(reason.text(), "field entries[0].statements: missing");
}

} // namespace

} // namespace Jujubekeel
