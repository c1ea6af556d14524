#pragma once

#include "databasegroup.h"
#include "entryprocess.h"
#include "httpserver.h"
#include "objectstore.h"
#include "recorder.h"

#include <memory>
#include <string>
#include <vector>

namespace Review {

struct DeploymentOptions
{
    std::string program;
    std::string folder;
    std::uint32_t databases = 1;
    std::uint32_t syncReplicas = 0;
    std::size_t instances = 6;
    int workMs = 8;
    int shipMs = 8;
    int applyMs = 20;
    int promoteMs = 600;
};

/// A small deployment: three zones, an instance or two in each, databases with a server in each zone, and the platform.
/// Addresses are of the loopback range.
class Deployment final
{
public:
    Deployment(DeploymentOptions deploymentOptions, Recorder &caseRecorder);
    ~Deployment();
    Deployment(const Deployment &) = delete;
    Deployment &operator=(const Deployment &) = delete;

    /// Starts all instances for the first time and waits until they are ready.
    bool start();
    [[nodiscard]] std::vector<std::unique_ptr<EntryProcess>> &entries() { return this->instances; }
    [[nodiscard]] DatabaseGroup &group(std::size_t index) { return *this->groups[index]; }
    [[nodiscard]] std::size_t groupCount() const { return this->groups.size(); }
    [[nodiscard]] ObjectStore &objects() { return this->store; }
    /// Names of the databases, as requesters use them, of a group: kinds primary, bounded_stale, read_your_writes.
    [[nodiscard]] static std::string primaryDatabase(std::size_t group) { return "filings" + std::to_string(group); }
    [[nodiscard]] static std::string staleDatabase(std::size_t group) { return "lookups" + std::to_string(group); }
    [[nodiscard]] static std::string ownDatabase(std::size_t group) { return "ledger" + std::to_string(group); }

private:
    void writeConfiguration();
    HttpAnswer promote(const HttpCall &call);

    DeploymentOptions options;
    Recorder &recorder;
    std::string network; ///< first three numbers of the addresses
    Endpoint storeEndpoint;
    Endpoint promotionEndpoint;
    ObjectStore store;
    std::vector<std::unique_ptr<DatabaseGroup>> groups;
    std::unique_ptr<HttpServer> storeServer;
    std::unique_ptr<HttpServer> promotionServer;
    std::vector<std::unique_ptr<EntryProcess>> instances;
};

} // namespace Review
