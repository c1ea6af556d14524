#pragma once

#include "deployment.h"
#include "recorder.h"
#include "requester.h"

#include <cstddef>
#include <memory>
#include <thread>
#include <vector>

namespace Review {

/// Requesters of one zone that read in transactions, at the replica near them.
class NearReaders final
{
public:
    NearReaders(Deployment &readDeployment, Recorder &caseRecorder, std::size_t readZone);
    ~NearReaders();
    NearReaders(const NearReaders &) = delete;
    NearReaders &operator=(const NearReaders &) = delete;

    /// Short reads, as on any day. Returns when they are done.
    void readShortly();
    /// Begins the transactions, each with a short read.
    bool begin();
    /// Starts longer reads in them, which occupy the replica's slots.
    void readLong();
    /// Waits for the last one.
    void finish();

private:
    Deployment &deployment;
    Recorder &recorder;
    std::vector<std::size_t> instances; ///< of the zone
    std::vector<std::unique_ptr<Requester>> readers;
    std::vector<std::thread> threads;
};

} // namespace Review
