#include "../standin/smallsite.h"
#include "../standin/types.h"

#include <algorithm>
#include <memory>
#include <string>
#include <vector>

namespace {

using namespace Review;

constexpr Milliseconds end{20000};
constexpr Milliseconds pause{50};
constexpr std::size_t executions = 40;

/// Two requesters prepare a statement each on the same database; the second one's shape begins with the first one's and
/// has a blank after it. Both execute theirs by turns, and what the backends commit is compared with what they sent.
class TwoShapes final
{
public:
    explicit TwoShapes(SmallSite &smallSite) : site(smallSite)
    {
        this->sides.push_back(Side{.name = "requester-1", .shape = "fee"});
        this->sides.push_back(Side{.name = "requester-2", .shape = smallSite.hasTrouble() ? "fee due" : "fee-due"});
    }

    void start() { this->open(0); }

private:
    struct Side
    {
        std::string name;
        std::string shape;
        std::shared_ptr<Requester> session;
        bool prepared = false;
    };
    struct Execution
    {
        std::string id;
        std::string sent; ///< as the backend must run it
    };

    void open(std::size_t index)
    {
        if (index == this->sides.size()) {
            this->execute(0);
            return;
        }
        Side &side = this->sides[index];
        side.session = this->site.requester(0, "ledger", side.name);
        side.session->open([this, index](const Answer &answer) {
            if (answer.succeeded())
                this->prepare(index);
            else
                this->site.finish(SmallSite::NotRun, "no session");
        });
    }

    void prepare(std::size_t index)
    {
        Side &side = this->sides[index];
        side.session->run(this->site.nextStatementId(), "PREPARE s1 WRITE " + side.shape,
                          [this, index](const Answer &answer) {
                              this->sides[index].prepared = answer.succeeded();
                              this->open(index + 1);
                          });
    }

    void execute(std::size_t number)
    {
        Side &side = this->sides[number % this->sides.size()];
        if (number == executions || !side.session->isOpen() || !side.prepared) {
            this->check();
            return;
        }
        const std::string id = this->site.nextStatementId();
        const std::string arguments = "stall-" + std::to_string(number) + " 17";
        this->sentExecutions.push_back(Execution{.id = id, .sent = "WRITE " + side.shape + " | " + arguments});
        side.session->run(id, "EXECUTE s1 " + arguments, [this, number](const Answer &) {
            this->site.later(pause, [this, number] { this->execute(number + 1); });
        });
    }

    void check()
    {
        std::size_t changed = 0;
        std::size_t committed = 0;
        for (const Commit &commit : this->site.group().at(0).log) {
            const auto sent = std::find_if(this->sentExecutions.begin(), this->sentExecutions.end(),
                                           [&](const Execution &execution) { return execution.id == commit.id; });
            committed += 1;
            if (sent != this->sentExecutions.end() && commit.writes.front() == sent->sent)
                continue;
            changed += 1;
            this->site.recordFile().write("check", commit.id + " committed as \"" + commit.writes.front()
                                                       + "\", prepared and sent as \""
                                                       + (sent == this->sentExecutions.end() ? "" : sent->sent) + '"');
        }
        const std::string text = std::to_string(changed) + " of " + std::to_string(committed)
                                 + " committed writes are not what their requester prepared and sent";
        this->site.finish(changed > 0 ? SmallSite::Broken : committed > 0 ? SmallSite::Held : SmallSite::NotRun, text);
    }

    SmallSite &site;
    std::vector<Side> sides;
    std::vector<Execution> sentExecutions;
};

} // namespace

int main(int argumentCount, char **arguments)
{
    SmallSite site(siteOptions(argumentCount, arguments));
    TwoShapes shapes(site);
    site.control = [&](const std::string &) {
        shapes.start();
        site.later(end, [&] { site.finish(SmallSite::NotRun, "the requesters did not finish"); });
    };
    return site.run();
}
