#pragma once

#include <chrono>
#include <fstream>
#include <string>
#include <string_view>

namespace Review {

/// Writes what was sent, answered and run, each line with the seconds since the start. Owned by a case.
class RecordFile final
{
public:
    explicit RecordFile(const std::string &file);

    void write(std::string_view who, std::string_view text);
    /// Seconds since the start.
    [[nodiscard]] double now() const;

private:
    std::chrono::steady_clock::time_point start = std::chrono::steady_clock::now();
    std::ofstream output;
};

} // namespace Review
