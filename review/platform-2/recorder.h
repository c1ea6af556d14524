#pragma once

#include <chrono>
#include <cstdio>
#include <mutex>
#include <string>

namespace Review {

/// Writes what was sent, answered and run to the record of a case, one line each with the milliseconds since its start.
class Recorder final
{
public:
    explicit Recorder(const std::string &path);
    ~Recorder();
    Recorder(const Recorder &) = delete;
    Recorder &operator=(const Recorder &) = delete;

    void write(const std::string &who, const std::string &text);

private:
    std::mutex mutex;
    std::FILE *file;
    std::chrono::steady_clock::time_point startedAt = std::chrono::steady_clock::now();
};

} // namespace Review
