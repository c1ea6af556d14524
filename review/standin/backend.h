#pragma once

#include "backendoptions.h"
#include "types.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace Review {

class BackendGroup;
class LineConnection;
class RecordFile;

/// One backend: its listener, connections, slots and log. Owned by BackendGroup, which replicates and promotes.
class Backend final
{
public:
    Backend(asio::io_context &eventLoop, BackendGroup &backendGroup, RecordFile &recordFile, std::string backendId);
    Backend(const Backend &) = delete;
    Backend &operator=(const Backend &) = delete;

    [[nodiscard]] const std::string &address() const { return this->listenAddress; }
    /// The process ends: all connections are closed and nothing listens any more.
    void crash();

    /// Partitions the backend from the machine that has opened all connections since now; see cutOff().
    void watchNewcomer() { this->newcomers.clear(); }
    /// The connections since watchNewcomer(), and new ones while \a cut is set, get no answer.
    void cutOff(bool cut);

    std::string id;
    bool running = true;
    bool primary = false;
    bool draining = false;
    bool receives = true; ///< false: nothing arrives from the primary for a while
    std::uint64_t term = 1;
    std::vector<Commit> log;
    std::size_t applied = 0;    ///< entries of the log
    std::set<std::string> seen; ///< ids of the statements that have reached it

private:
    struct Connection
    {
        std::shared_ptr<LineConnection> lines;
        std::deque<std::string> waiting; ///< the first one is in progress
        bool greeted = false;
        char state = 'I';
        bool readOnly = false;
        std::vector<std::string> writes;
        std::map<std::string, std::string> prepared; ///< "READ shape" or "WRITE shape" by name
    };
    using ConnectionPointer = std::shared_ptr<Connection>;

    void accept();
    void next(const ConnectionPointer &connection);
    void greet(const ConnectionPointer &connection, std::string_view rest);
    void run(const ConnectionPointer &connection, const std::string &statementId, std::string_view text);
    void begin(const ConnectionPointer &connection, std::string_view rest, std::optional<Position> after);
    void access(const ConnectionPointer &connection, const std::string &statementId, const std::string &access,
                std::optional<Position> after);
    void commit(const ConnectionPointer &connection, const std::string &statementId);
    void finishCommit(const ConnectionPointer &connection, const std::string &statementId,
                      std::vector<std::string> writes);
    /// Runs \a done after \a work in a slot; false if all slots are taken and the queue is full.
    bool occupy(Milliseconds work, std::function<void()> done);
    void startJob(Milliseconds work, std::function<void()> done);
    void answer(const ConnectionPointer &connection, std::string_view digest,
                const std::vector<std::string> &rows = {});
    void refuse(const ConnectionPointer &connection, std::string_view code);
    void ready(const ConnectionPointer &connection);
    [[nodiscard]] Position appliedPosition() const;
    [[nodiscard]] Position receivedPosition() const;

    asio::io_context &loop;
    BackendGroup &group;
    RecordFile &record;
    asio::ip::tcp::acceptor acceptor;
    std::string listenAddress;
    std::set<ConnectionPointer> connections;
    std::vector<ConnectionPointer> newcomers;
    bool isCutOff = false;
    std::size_t busy = 0;
    std::deque<std::function<void()>> queue;
};

} // namespace Review
