#include "requester.h"

#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <utility>

namespace Review {

namespace {

/// A requester closes its session if READY takes longer after CONNECT.
constexpr int openTimeoutMs = 2000;

} // namespace

std::string Answer::text() const
{
    std::string joined;
    for (const std::string &row : this->rows)
        joined += "ROW " + row + " | ";
    joined += this->error.empty() ? "DONE " + this->digest : "ERROR " + this->error;
    return this->complete ? joined + " | READY " + this->ready : "no whole answer: " + joined;
}

Requester::Requester(std::string requesterName, Recorder &caseRecorder)
    : name(std::move(requesterName)), recorder(caseRecorder)
{
}

Requester::~Requester()
{
    this->close();
}

bool Requester::open(const Endpoint &endpoint, const std::string &database)
{
    this->close();
    this->descriptor = connectTo(endpoint, openTimeoutMs);
    if (this->descriptor < 0)
        return false;
    this->reader = SocketReader(this->descriptor);
    sendAll(this->descriptor, "CONNECT " + database + ' ' + this->name + "\r\n");
    const auto line = this->reader.line(openTimeoutMs);
    this->recorder.write(this->name,
                         "CONNECT " + database + " at " + endpoint.text() + " -> " + line.value_or("nothing"));
    if (line && line->starts_with("READY"))
        return true;
    this->close();
    return false;
}

Answer Requester::ask(const std::string &statement, int timeoutMs)
{
    this->asked += 1;
    this->id = this->name + '-' + std::to_string(this->asked);
    Answer answer;
    if (this->descriptor < 0)
        return answer;
    this->recorder.write(this->name, "sends QUERY " + this->id + ' ' + statement);
    sendAll(this->descriptor, "QUERY " + this->id + ' ' + statement + "\r\n");
    while (const auto line = this->reader.line(timeoutMs)) {
        const std::string rest = line->substr(std::min(line->find(' ') + 1, line->size()));
        if (line->starts_with("ROW"))
            answer.rows.push_back(rest);
        else if (line->starts_with("DONE"))
            answer.digest = rest;
        else if (line->starts_with("ERROR"))
            answer.error = rest;
        else if (line->starts_with("READY")) {
            answer.ready = rest;
            answer.complete = true;
            break;
        }
    }
    this->recorder.write(this->name, "gets for " + this->id + ": " + answer.text());
    if (!answer.complete)
        this->close();
    return answer;
}

bool Requester::hasEnded() const
{
    char letter = 0;
    return this->descriptor < 0 || ::recv(this->descriptor, &letter, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
}

void Requester::close()
{
    if (this->descriptor >= 0)
        ::close(this->descriptor);
    this->descriptor = -1;
}

} // namespace Review
