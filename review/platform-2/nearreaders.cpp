#include "nearreaders.h"

#include <string>

namespace Review {

namespace {

constexpr int answerTimeoutMs = 4000;
constexpr std::size_t zones = 3;
constexpr int sessionsPerInstance = 3;
constexpr int shortReads = 25;
constexpr int longReads = 7;
/// Milliseconds of work; the site's reads take 40 in the mean and 300 at most.
constexpr const char *shortRead = "READ first/2";
constexpr const char *longRead = "READ first/200";

} // namespace

NearReaders::NearReaders(Deployment &readDeployment, Recorder &caseRecorder, std::size_t readZone)
    : deployment(readDeployment), recorder(caseRecorder)
{
    for (std::size_t index = readZone; index < this->deployment.entries().size(); index += zones)
        this->instances.push_back(index);
}

NearReaders::~NearReaders()
{
    this->finish();
}

void NearReaders::readShortly()
{
    std::vector<std::thread> usual;
    usual.reserve(this->instances.size() * sessionsPerInstance);
    for (const std::size_t near : this->instances) {
        for (int number = 1; number <= sessionsPerInstance; ++number) {
            usual.emplace_back([this, near, number] {
                Requester requester("usual-" + std::to_string(near) + '-' + std::to_string(number), this->recorder);
                requester.open(this->deployment.entries()[near]->front(), Deployment::ownDatabase(0));
                for (int read = 0; read < shortReads; ++read)
                    requester.ask(shortRead, answerTimeoutMs);
            });
        }
    }
    for (std::thread &thread : usual)
        thread.join();
}

bool NearReaders::begin()
{
    for (const std::size_t near : this->instances) {
        for (int number = 1; number <= sessionsPerInstance; ++number) {
            this->readers.push_back(std::make_unique<Requester>(
                "reader-" + std::to_string(near) + '-' + std::to_string(number), this->recorder));
            Requester &reader = *this->readers.back();
            if (!reader.open(this->deployment.entries()[near]->front(), Deployment::ownDatabase(0))
                || !reader.ask("BEGIN READ", answerTimeoutMs).isOk() || !reader.ask(shortRead, answerTimeoutMs).isOk())
                return false;
        }
    }
    return true;
}

void NearReaders::readLong()
{
    this->threads.reserve(this->readers.size());
    for (const auto &reader : this->readers) {
        this->threads.emplace_back([&reader = *reader] {
            for (int number = 0; number < longReads; ++number) {
                if (!reader.ask(longRead, answerTimeoutMs).isOk())
                    return;
            }
            reader.ask("COMMIT", answerTimeoutMs);
        });
    }
}

void NearReaders::finish()
{
    for (std::thread &thread : this->threads)
        thread.join();
    this->threads.clear();
}

} // namespace Review
