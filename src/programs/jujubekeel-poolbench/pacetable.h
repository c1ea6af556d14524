#pragma once

#include <cstdint>
#include <string>

namespace Jujubekeel {

/// Plays bursts, slow, cold, failing, flapping and crashed servers, and organisations of which one sends more, without
/// and with adaptive pacing and the queue order by latency objective, on the same seeds. Prints one row for each as a
/// table in Markdown. Only loads whose name contains \a loadName.
void printPaceTable(std::uint64_t seeds, const std::string &loadName);

} // namespace Jujubekeel
