#pragma once

namespace Jujubekeel {

/// Blocks SIGINT and SIGTERM in the calling thread and in the threads that it starts later. Must be called before any
/// other thread is started.
void blockStopSignals();
/// Waits until the process receives SIGINT or SIGTERM. blockStopSignals() must have been called.
void waitForStopSignal();

} // namespace Jujubekeel
