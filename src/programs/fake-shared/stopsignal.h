#pragma once

namespace Jujubekeel {

/// Blocks SIGINT and SIGTERM in this thread and in those it starts; call before any thread is started.
void blockStopSignals();
/// Waits for one of them.
void waitForStopSignal();

} // namespace Jujubekeel
