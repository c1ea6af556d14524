#pragma once

#include "backend.h"
#include "backendoptions.h"
#include "httpserver.h"

#include <asio/io_context.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace Review {

class ObjectStore;
class RecordFile;

/// The backends of one service: one primary and its replicas. Keeps their entries in the store, replicates commits and
/// carries out promotions.
class BackendGroup final
{
public:
    BackendGroup(asio::io_context &eventLoop, ObjectStore &objectStore, RecordFile &recordFile,
                 BackendOptions backendOptions);

    [[nodiscard]] const BackendOptions &options() const { return this->backendOptions; }
    [[nodiscard]] Backend &at(std::size_t index) { return *this->backends.at(index); }
    /// Writes the backend's entry in the store.
    void report(const Backend &backend);
    /// The primary's process ends. Its entry is removed after three intervals of silence.
    void crash(Backend &backend);
    /// Adds a commit at the primary; \a acknowledge is called when it may be acknowledged.
    void commit(Backend &primary, const std::string &statementId, std::vector<std::string> writes,
                const std::function<void()> &acknowledge);
    /// POST /promote
    void promote(const HttpCall &call, const HttpServer::Respond &respond);

    std::function<void(const Backend &backend)> promoted;           ///< a promote has taken effect
    std::function<void(const std::string &holder)> promoteReceived; ///< a call to promote has arrived

    /// Commits that were made at a backend after a promote of another one had taken effect.
    [[nodiscard]] const std::vector<std::string> &lateCommits() const { return this->commitsAfterPromote; }
    /// Number of promotes that have taken effect.
    [[nodiscard]] std::size_t promotions() const { return this->promotionCount; }

private:
    void lead(Backend &backend);
    /// The replica receives what it lacks, and applies it later.
    void ship(Backend &primary, Backend &replica);
    /// A former primary learns of the new one: what the new one lacks is rolled back.
    void follow(Backend &former, Backend &leader);
    void later(Milliseconds delay, std::function<void()> action);

    asio::io_context &loop;
    ObjectStore &store;
    RecordFile &record;
    BackendOptions backendOptions;
    std::vector<std::unique_ptr<Backend>> backends;
    std::uint64_t newestTerm = 1;
    std::size_t promotionCount = 0;
    std::vector<std::string> commitsAfterPromote;
};

} // namespace Review
