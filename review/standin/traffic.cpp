#include "traffic.h"

#include "requester.h"
#include "smallsite.h"

namespace Review {

namespace {

/// One session in this many uses the route "filings", one "lookups", the others "ledger".
constexpr std::size_t routeShare = 7;
/// One operation in this many of a session on "ledger" is a write, and one in `filingWriteShare` on "filings".
constexpr std::uint64_t ledgerWriteShare = 8;
constexpr std::uint64_t filingWriteShare = 5;
constexpr Milliseconds reopenPause{100};

} // namespace

void Traffic::start()
{
    for (std::size_t number = 0; number < this->options.sessions; ++number) {
        auto session = std::make_shared<Session>();
        session->number = number;
        session->entry = number % this->site.entryCount();
        const std::size_t kind = (number / this->site.entryCount()) % routeShare;
        session->database = this->options.primaryOnly || kind == 0 ? "filings" : kind == 1 ? "lookups" : "ledger";
        session->operations = number;
        const auto offset =
            this->options.pause * static_cast<std::int64_t>(number) / static_cast<std::int64_t>(this->options.sessions);
        this->site.later(offset, [this, session] { this->next(session); });
    }
}

void Traffic::resetCounts()
{
    this->sent = 0;
    this->served = 0;
    this->counting += 1;
}

void Traffic::next(const std::shared_ptr<Session> &session)
{
    if (this->stopped)
        return;
    if (session->requester && session->requester->isOpen()) {
        this->runOperation(session);
        return;
    }
    this->reopen(session);
}

void Traffic::reopen(const std::shared_ptr<Session> &session)
{
    session->requester =
        this->site.requester(session->entry, session->database, "requester-" + std::to_string(session->number));
    session->requester->open([this, session](const Answer &answer) {
        if (answer.succeeded()) {
            this->runOperation(session);
            return;
        }
        this->sent += 1;
        this->site.later(reopenPause, [this, session] { this->next(session); });
    });
}

void Traffic::runOperation(const std::shared_ptr<Session> &session)
{
    session->operations += 1;
    const std::uint64_t share = session->database == "filings"  ? filingWriteShare
                                : session->database == "ledger" ? ledgerWriteShare
                                                                : 0;
    const bool sharedWrite = share != 0 && session->operations % share == 0;
    const bool writes = this->options.primaryOnly ? !sharedWrite : sharedWrite;
    const std::string id = this->site.nextStatementId();
    const std::string item = (session->database == "lookups" ? "l" : "i") + std::to_string(session->number);
    this->sent += 1;
    session->requester->run(id, writes ? "WRITE " + item + " data-" + id : "READ " + item,
                            [this, session, id, writes, counted = this->counting](const Answer &answer) {
                                if (answer.succeeded()) {
                                    this->served += counted == this->counting ? 1 : 0;
                                    if (writes)
                                        this->acknowledged.push_back(id);
                                }
                                this->pauseThenNext(session);
                            });
}

void Traffic::pauseThenNext(const std::shared_ptr<Session> &session)
{
    // From half to three halves, so that the sessions do not fall into step.
    const std::int64_t average = this->options.pause.count();
    const Milliseconds pause(average / 2 + static_cast<std::int64_t>(this->random()) % (average + 1));
    this->site.later(pause, [this, session] { this->next(session); });
}

} // namespace Review
