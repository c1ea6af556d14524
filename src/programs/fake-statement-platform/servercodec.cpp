#include "programs/fake-statement-platform/servercodec.h"

#include "linecodec.h"
#include "linewords.h"

namespace Jujubekeel {

namespace {

/// Decodes the text of a QUERY. Text without a special verb is forwarded as a statement.
void decodeStatement(std::string_view text, ServerCommand &command)
{
    std::string_view rest = text;
    const std::string_view verb = takeWord(rest);
    command.kind = CommandKind::Forward;
    command.argument = std::string(text);
    if (verb == "BEGIN") {
        command.kind = rest == "READ" ? CommandKind::BeginReadOnly : CommandKind::Begin;
    } else if (verb == "ROLLBACK") {
        command.kind = CommandKind::Rollback;
    } else if (verb == "RESET") {
        command.kind = CommandKind::ResetSession;
    } else if (verb == "STATUS") {
        command.kind = CommandKind::Status;
    } else if (verb == "RESUME") {
        command.kind = CommandKind::ResumeReplication;
    } else if (verb == "PAUSE" || verb == "STEPDOWN") {
        command.kind = verb == "PAUSE" ? CommandKind::PauseReplication : CommandKind::StepDown;
        command.term = toNumber(rest).value_or(0);
    } else if (verb == "SET" || verb == "EXECUTE") {
        command.kind = verb == "SET" ? CommandKind::SetValue : CommandKind::Execute;
        command.name = takeWord(rest);
        command.argument = std::string(rest);
    } else if (verb == "PREPARE") {
        command.name = takeWord(rest);
        command.kind = takeWord(rest) == "WRITE" ? CommandKind::PrepareWrite : CommandKind::PrepareRead;
        command.argument = std::string(rest);
    }
}

} // namespace

std::optional<ServerCommand> decodeCommand(std::string_view line)
{
    std::string_view rest = line;
    const std::string_view verb = takeWord(rest);
    ServerCommand command;
    if (verb == "CONNECT") {
        command.kind = CommandKind::Open;
        command.name = takeWord(rest);
        command.organisation = takeWord(rest);
        command.argument = std::string(rest);
        return command;
    }
    if (verb == "BYE") {
        command.kind = CommandKind::Close;
        return command;
    }
    if (verb != "QUERY")
        return std::nullopt;
    command.id = takeWord(rest);
    if (rest.starts_with("AFTER ")) {
        static_cast<void>(takeWord(rest));
        command.after = toPosition(takeWord(rest));
    }
    decodeStatement(rest, command);
    return command;
}

std::string encodeServerMessage(const ServerMessage &message)
{
    switch (message.kind) {
    case ServerMessageKind::Row: {
        if (!message.status)
            return "ROW " + message.text + "\r\n";
        const ReplicationStatus &status = *message.status;
        return std::string("ROW ") + (status.isPrimary ? "primary " : "replica ") + std::to_string(status.term) + " "
               + toText(status.received) + " " + std::to_string(status.heldTerm) + " 0 0 0\r\n";
    }
    case ServerMessageKind::Done:
        return "DONE " + message.text + "\r\n";
    case ServerMessageKind::Error:
        return encodeError(message.error);
    case ServerMessageKind::Ready:
        break;
    }
    const char stateLetter = message.state == SessionState::Idle            ? 'I'
                             : message.state == SessionState::InTransaction ? 'T'
                                                                            : 'E';
    return std::string("READY ") + stateLetter + " " + toText(message.position) + "\r\n";
}

} // namespace Jujubekeel
