#pragma once

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace Review {

class LineConnection;
class RecordFile;

/// What a requester got for one request.
struct Answer
{
    bool complete = false; ///< READY has arrived; otherwise the connection has ended
    std::string digest;    ///< of DONE; empty after ERROR
    std::string error;     ///< code of ERROR; empty after DONE
    std::vector<std::string> rows;
    char state = 'I';

    [[nodiscard]] bool succeeded() const { return this->complete && this->error.empty(); }
};

struct RequesterOptions
{
    asio::ip::tcp::endpoint address; ///< of an entry instance
    std::string database;
    std::string name;
};

/// One session of a requester, with one request outstanding at a time.
class Requester final : public std::enable_shared_from_this<Requester>
{
public:
    using Done = std::function<void(const Answer &answer)>;

    Requester(asio::io_context &eventLoop, RecordFile &recordFile, RequesterOptions requesterOptions);

    /// Connects and opens the session.
    void open(Done done);
    /// Sends a request; the session must be open and without an outstanding request.
    void run(const std::string &statementId, const std::string &text, Done done);
    void close();
    [[nodiscard]] bool isOpen() const { return this->connection != nullptr; }

private:
    void received(std::string_view line);
    void finish(bool complete);

    asio::io_context &loop;
    RecordFile &record;
    RequesterOptions options;
    std::shared_ptr<LineConnection> connection;
    std::string outstanding;
    Answer answer;
    Done pending;
};

} // namespace Review
