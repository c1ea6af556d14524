#pragma once

#include <string>

namespace Review {

class Recorder;

/// What a case is started with.
struct CaseOptions
{
    std::string program; ///< the program that the deploy file runs
    std::string folder;  ///< temporary
    bool trouble = true; ///< false: the same without the disruption
};

enum class Verdict : int { Held = 0, Broken = 1, CouldNotRun = 2 };

/// LOST: a commit of a service with SyncReplicas is acknowledged and is not in the log of the backend that is promoted.
Verdict runLostCommit(const CaseOptions &options, Recorder &recorder);
/// ONE: the store returns without the record of a replacement, all instances restart, and the old primary is used again.
Verdict runOldPrimary(const CaseOptions &options, Recorder &recorder);
/// STALE: a former primary that was replaced is promoted again, with commits that reads in between have lacked.
Verdict runStalePrimary(const CaseOptions &options, Recorder &recorder);
/// RECOVER: a database without a replaced primary gets none after all instances have restarted.
Verdict runNoPrimary(const CaseOptions &options, Recorder &recorder);

/// LOST: an instance that is being stopped takes a transaction late and closes the connection within it.
Verdict runLateTransaction(const CaseOptions &options, Recorder &recorder);

} // namespace Review
