#include "recordfile.h"
#include "smallsite.h"

#include <cstddef>
#include <memory>
#include <string>
#include <utility>

namespace {

using namespace Review;

constexpr std::size_t sessions = 8;
/// Work of one read: a report, within the route's TimeoutMs of 2,000 ms.
constexpr Milliseconds reportWork{1500};
/// Each session starts with this many short reads, of the service's usual work.
constexpr std::size_t shortReads = 6;
constexpr Milliseconds shortWork{300};
constexpr Milliseconds pauseAfterRefusal{300};
constexpr double timeoutS = 2.0;
/// A request that was sent later than this after the SIGTERM is not excused.
constexpr double excusedS = 3.0;

/// Sessions on one entry instance that read reports one after another, until the instance stops.
class Reports final
{
public:
    explicit Reports(SmallSite &smallSite) : site(smallSite) {}

    void start()
    {
        for (std::size_t number = 0; number < sessions; ++number) {
            auto session = this->site.requester(0, "lookups", "requester-" + std::to_string(number));
            this->site.later(Milliseconds(200) * static_cast<std::int64_t>(number), [this, session] {
                session->open([this, session](const Answer &answer) {
                    if (answer.succeeded())
                        this->read(session, 0);
                });
            });
        }
    }

    void stopRequested() { this->stoppedAt = this->site.recordFile().now(); }

    void check()
    {
        const std::string text = std::to_string(this->cut) + " requests were passed on and got no answer; "
                                 + std::to_string(this->answered) + " were answered";
        this->site.finish(this->answered == 0 ? SmallSite::NotRun
                          : this->cut > 0     ? SmallSite::Broken
                                              : SmallSite::Held,
                          text);
    }

private:
    void read(const std::shared_ptr<Requester> &session, std::size_t earlier)
    {
        const std::string id = this->site.nextStatementId();
        const double sentAt = this->site.recordFile().now();
        const std::string item = (earlier < shortReads ? "s" : "l") + id;
        session->run(id, "READ " + item, [this, session, earlier, id, sentAt](const Answer &answer) {
            if (answer.complete) {
                this->answered += 1;
                if (answer.succeeded())
                    this->read(session, earlier + 1);
                else
                    this->site.later(pauseAfterRefusal, [this, session, earlier] {
                        if (session->isOpen())
                            this->read(session, earlier);
                    });
                return;
            }
            this->ended(id, sentAt);
        });
    }

    void ended(const std::string &id, double sentAt)
    {
        const double now = this->site.recordFile().now();
        bool passedOn = false;
        for (std::size_t backend = 0; backend < 3; ++backend)
            passedOn = passedOn || this->site.group().at(backend).seen.contains(id);
        const bool counts =
            this->stoppedAt > 0 && sentAt > this->stoppedAt + excusedS && now < sentAt + timeoutS && passedOn;
        this->site.recordFile().write("check", id + " sent " + std::to_string(sentAt - this->stoppedAt)
                                                   + " s after the SIGTERM, passed on: " + (passedOn ? "yes" : "no")
                                                   + ", connection ended after " + std::to_string(now - sentAt)
                                                   + " s, counts: " + (counts ? "yes" : "no"));
        if (counts)
            this->cut += 1;
    }

    SmallSite &site;
    double stoppedAt = 0;
    std::size_t answered = 0;
    std::size_t cut = 0;
};

} // namespace

int main(int argumentCount, char **arguments)
{
    SmallSiteOptions options = siteOptions(argumentCount, arguments);
    options.backends.readWork = shortWork;
    options.backends.lookupWork = reportWork;
    SmallSite site(std::move(options));
    Reports reports(site);
    site.control = [&](const std::string &name) {
        if (name == "start")
            reports.start();
        else if (name == "term")
            reports.stopRequested();
        else if (name == "ended")
            site.later(Milliseconds(500), [&] { reports.check(); });
    };
    return site.run();
}
