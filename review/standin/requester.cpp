#include "requester.h"

#include "lineconnection.h"
#include "recordfile.h"
#include "types.h"

#include <utility>

namespace Review {

Requester::Requester(asio::io_context &eventLoop, RecordFile &recordFile, RequesterOptions requesterOptions)
    : loop(eventLoop), record(recordFile), options(std::move(requesterOptions))
{
}

void Requester::open(Done done)
{
    this->answer = Answer{};
    this->pending = std::move(done);
    this->outstanding = "CONNECT " + this->options.database;
    this->connection = std::make_shared<LineConnection>(asio::ip::tcp::socket(this->loop));
    this->connection->connect(
        this->options.address,
        [self = this->shared_from_this()] {
            self->connection->send("CONNECT " + self->options.database + ' ' + self->options.name);
        },
        {.line = [self = this->shared_from_this()](std::string_view line) { self->received(line); },
         .closed =
             [self = this->shared_from_this()] {
                 self->connection = nullptr;
                 self->finish(false);
             }});
}

void Requester::run(const std::string &statementId, const std::string &text, Done done)
{
    this->answer = Answer{};
    this->pending = std::move(done);
    this->outstanding = statementId;
    this->record.write(this->options.name, "sends " + statementId + ' ' + text);
    this->connection->send("QUERY " + statementId + ' ' + text);
}

void Requester::close()
{
    if (this->connection) {
        this->connection->send("BYE");
        this->connection = nullptr;
    }
    this->pending = nullptr;
}

void Requester::received(std::string_view line)
{
    std::string_view rest = line;
    const std::string word = takeWord(rest);
    if (word == "ROW") {
        this->answer.rows.emplace_back(rest);
    } else if (word == "DONE") {
        this->answer.digest = std::string(rest);
    } else if (word == "ERROR") {
        this->answer.error = takeWord(rest);
    } else if (word == "READY") {
        this->answer.state = rest.empty() ? 'I' : rest.front();
        this->finish(true);
    }
}

void Requester::finish(bool complete)
{
    if (!this->pending)
        return;
    this->answer.complete = complete;
    const std::string outcome = !complete                    ? "connection ended"
                                : this->answer.error.empty() ? "DONE " + this->answer.digest
                                                             : "ERROR " + this->answer.error;
    this->record.write(this->options.name,
                       "gets for " + this->outstanding + ": " + outcome + ", state " + this->answer.state);
    const Done done = std::exchange(this->pending, nullptr);
    done(Answer(this->answer));
}

} // namespace Review
