#pragma once

#include "types.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace Review {

class Requester;
class SmallSite;
struct Answer;

struct TrafficOptions
{
    std::size_t sessions = 140; ///< spread over the entry instances
    Milliseconds pause{640};    ///< of a session between two operations, on average
    bool primaryOnly = false;   ///< all sessions use the route "filings", and most operations are writes
};

/// Requesters in the shares of the sheet of a small site: each session repeats reads, and writes where its route has
/// them. Owned by the main function of a case.
class Traffic final
{
public:
    Traffic(SmallSite &smallSite, TrafficOptions trafficOptions) : site(smallSite), options(trafficOptions) {}

    void start();
    void stop() { this->stopped = true; }

    /// Ids of the writes that were acknowledged to their requesters.
    [[nodiscard]] const std::vector<std::string> &acknowledgedWrites() const { return this->acknowledged; }
    /// Operations sent, and answered with success, since the last call of resetCounts().
    [[nodiscard]] std::size_t sentCount() const { return this->sent; }
    [[nodiscard]] std::size_t servedCount() const { return this->served; }
    void resetCounts();

private:
    struct Session
    {
        std::size_t number = 0;
        std::size_t entry = 0;
        std::string database;
        std::uint64_t operations = 0;
        std::shared_ptr<Requester> requester;
    };

    void next(const std::shared_ptr<Session> &session);
    void reopen(const std::shared_ptr<Session> &session);
    void runOperation(const std::shared_ptr<Session> &session);
    void pauseThenNext(const std::shared_ptr<Session> &session);

    SmallSite &site;
    TrafficOptions options;
    bool stopped = false;
    std::size_t sent = 0;
    std::size_t served = 0;
    std::uint64_t counting = 0; ///< number of resetCounts() calls; answers to earlier operations are not counted
    std::vector<std::string> acknowledged;
    std::minstd_rand random{1};
};

} // namespace Review
