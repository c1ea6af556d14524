#include "../standin/smallsite.h"
#include "../standin/traffic.h"

#include <algorithm>
#include <iostream>
#include <string>

namespace {

using namespace Review;

// Times since the start of traffic.
constexpr Milliseconds crashAt{4000};
constexpr Milliseconds end{22000};
// Times since the killed holder starts again.
constexpr Milliseconds cutAt{5500};
constexpr Milliseconds cutFor{5000};

void check(SmallSite &site, const Traffic &traffic)
{
    const auto &acknowledged = traffic.acknowledgedWrites();
    std::size_t broken = 0;
    for (const std::string &id : site.group().lateCommits()) {
        const bool counts = std::find(acknowledged.begin(), acknowledged.end(), id) != acknowledged.end();
        site.recordFile().write("check", id + " was committed at the old primary after a promote had taken effect, "
                                             + (counts ? "and acknowledged" : "and not acknowledged"));
        broken += counts ? 1 : 0;
    }
    const std::string text = std::to_string(broken) + " writes were acknowledged by an old primary after a promote; "
                             + std::to_string(site.group().promotions()) + " promotes took effect";
    const bool ran = !acknowledged.empty() && (site.group().promotions() > 0) == site.hasTrouble();
    site.finish(broken > 0 ? SmallSite::Broken : ran ? SmallSite::Held : SmallSite::NotRun, text);
}

} // namespace

int main(int argumentCount, char **arguments)
{
    SmallSite site(siteOptions(argumentCount, arguments));
    Traffic traffic(site, TrafficOptions{.sessions = 200, .primaryOnly = true});
    // The script kills the first holder.
    site.group().promoteReceived = [](const std::string &holder) { std::cout << "holder " << holder << std::endl; };
    site.control = [&](const std::string &name) {
        if (name == "killed") {
            // Only the killed instance opens connections from now on; it is cut off from the new primary for a while.
            Backend &primary = site.group().at(1).primary ? site.group().at(1) : site.group().at(2);
            primary.watchNewcomer();
            site.later(cutAt, [&] { primary.cutOff(true); });
            site.later(cutAt + cutFor, [&] { primary.cutOff(false); });
            return;
        }
        traffic.start();
        site.later(end, [&] { check(site, traffic); });
        if (site.hasTrouble())
            site.later(crashAt, [&] { site.group().crash(site.group().at(0)); });
    };
    return site.run();
}
