#pragma once

#include "backendgroup.h"
#include "backendoptions.h"
#include "httpserver.h"
#include "objectstore.h"
#include "recordfile.h"
#include "requester.h"

#include <asio/io_context.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace Review {

struct SmallSiteOptions
{
    std::string recordFile;
    bool trouble = true;
    std::size_t entries = 3; ///< entry instances that the script starts
    /// The sheet's 4 ms an answer of the store, and 8 ms each way between areas.
    Milliseconds platformDelay{20};
    BackendOptions backends;
};

/// The platform of a small site: store, promotion call, one service of three backends, three routes, and the event loop
/// on which they and the requesters run. The script is told the addresses on standard output and calls
/// "/control/NAME" on the store's address. Owned by the main function of a case.
class SmallSite final
{
public:
    enum Verdict : std::uint8_t { Held = 0, Broken = 1, NotRun = 2 };

    explicit SmallSite(SmallSiteOptions siteOptions);

    /// Runs until finish() is called, 110 s at most; returns the exit code.
    int run();
    void finish(Verdict reached, const std::string &reason);

    void later(Milliseconds delay, std::function<void()> action);
    [[nodiscard]] std::shared_ptr<Requester> requester(std::size_t entry, const std::string &database,
                                                       const std::string &name);
    [[nodiscard]] std::string nextStatementId();
    [[nodiscard]] bool hasTrouble() const { return this->options.trouble; }
    [[nodiscard]] std::size_t entryCount() const { return this->options.entries; }
    [[nodiscard]] BackendGroup &group() { return *this->backends; }
    [[nodiscard]] ObjectStore &objects() { return this->store; }
    [[nodiscard]] RecordFile &recordFile() { return this->record; }

    std::function<void(const std::string &name)> control; ///< the script has called "/control/NAME"

private:
    void handle(const HttpCall &call, const HttpServer::Respond &respond);
    void putConfiguration();
    void announceAddresses();

    SmallSiteOptions options;
    asio::io_context loop;
    RecordFile record;
    ObjectStore store;
    std::unique_ptr<BackendGroup> backends;
    std::unique_ptr<HttpServer> server;
    std::vector<asio::ip::tcp::endpoint> fronts;
    std::uint64_t statements = 0;
    Verdict verdict = NotRun;
};

/// Options of a case from its command line: RECORD TROUBLE ENTRIES.
[[nodiscard]] SmallSiteOptions siteOptions(int argumentCount, char **arguments);

} // namespace Review
