#pragma once

#include "core/time.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace Jujubekeel {

struct CrowdOptions
{
    asio::ip::tcp::endpoint address;
    std::uint32_t connections = 1;
    std::string payload;        ///< what every connection sends
    std::size_t pieceBytes = 0; ///< bytes of one write; 0: everything at once
    Duration interval{0};       ///< between two writes, and between two reads with `readBytes`
    bool reads = true;          ///< false: nothing that arrives is read
    std::size_t readBytes = 0;  ///< bytes read in each interval; 0: everything at once
    Duration limit{0};          ///< the crowd ends after this time
};

struct CrowdTotals
{
    std::uint32_t connected = 0;
    std::uint32_t ended = 0; ///< connections that the other side has closed
    std::uint64_t sentBytes = 0;
    std::uint64_t receivedBytes = 0;
};

/// A number of equal connections that send a payload and read in a given way until a time limit. Owned by main();
/// one thread.
class Crowd final
{
public:
    explicit Crowd(CrowdOptions crowdOptions);
    ~Crowd();
    Crowd(const Crowd &) = delete;
    Crowd &operator=(const Crowd &) = delete;

    /// Returns after the time limit.
    CrowdTotals run();

private:
    struct Member;

    void connect(Member &member);
    void write(Member &member);
    void read(Member &member);
    void end(Member &member);

    CrowdOptions options;
    asio::io_context loop;
    asio::steady_timer limit;
    std::vector<std::unique_ptr<Member>> members;
    CrowdTotals totals;
};

} // namespace Jujubekeel
