#pragma once

#include "recorder.h"
#include "tcp.h"

#include <string>
#include <vector>

namespace Review {

/// Answer to one request of a session.
struct Answer
{
    bool complete = false; ///< READY has arrived
    std::vector<std::string> rows;
    std::string digest; ///< of DONE
    std::string error;  ///< code and text of ERROR
    std::string ready;  ///< state and position of READY

    [[nodiscard]] bool isOk() const { return this->complete && this->error.empty(); }
    [[nodiscard]] std::string text() const;
};

/// A session of a requester. All that it sends and gets is written to the record.
class Requester final
{
public:
    Requester(std::string requesterName, Recorder &caseRecorder);
    ~Requester();
    Requester(const Requester &) = delete;
    Requester &operator=(const Requester &) = delete;

    bool open(const Endpoint &endpoint, const std::string &database);
    /// Sends a request with a new id and waits for its answer.
    Answer ask(const std::string &statement, int timeoutMs);
    [[nodiscard]] const std::string &lastId() const { return this->id; }
    /// Whether the end of the connection has arrived.
    [[nodiscard]] bool hasEnded() const;
    void close();

private:
    std::string name;
    Recorder &recorder;
    int descriptor = -1;
    SocketReader reader{-1};
    std::string id;
    unsigned asked = 0;
};

} // namespace Review
