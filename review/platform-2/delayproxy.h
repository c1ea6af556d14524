#pragma once

#include "tcp.h"

#include <atomic>
#include <chrono>
#include <mutex>
#include <set>
#include <thread>

namespace Review {

/// Passes connections on to a target and delays all bytes, and the end of a connection, in both directions.
class DelayProxy final
{
public:
    DelayProxy(const std::string &host, Endpoint targetEndpoint, std::chrono::microseconds oneWay);
    ~DelayProxy();
    DelayProxy(const DelayProxy &) = delete;
    DelayProxy &operator=(const DelayProxy &) = delete;

    [[nodiscard]] const Endpoint &endpoint() const { return this->own; }

private:
    void accept();
    void serve(int descriptor);
    /// Passes on one direction until the source ends.
    void pass(int from, int to) const;

    Endpoint own;
    Endpoint target;
    std::chrono::microseconds delay;
    int listener = -1;
    std::mutex mutex;
    std::set<int> connections; ///< guarded by the mutex
    std::atomic<int> threads{0};
    std::thread acceptor;
};

} // namespace Review
