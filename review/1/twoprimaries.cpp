#include "smallsite.h"
#include "traffic.h"

#include <algorithm>
#include <iostream>
#include <string>

namespace {

using namespace Review;

// Times since the start of traffic.
constexpr Milliseconds crashAt{4000};
constexpr Milliseconds end{26000};
/// Work of a statement on the route "filings".
constexpr Milliseconds work{120};

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
    SmallSiteOptions options = siteOptions(argumentCount, arguments);
    options.backends.readWork = work;
    options.backends.writeWork = work;
    SmallSite site(std::move(options));
    Traffic traffic(site, TrafficOptions{.sessions = 72, .pause = Milliseconds(400), .primaryOnly = true});
    // The script kills the first holder.
    site.group().promoteReceived = [](const std::string &holder) { std::cout << "holder " << holder << std::endl; };
    site.control = [&](const std::string &name) {
        if (name != "start")
            return;
        traffic.start();
        site.later(end, [&] { check(site, traffic); });
        if (site.hasTrouble())
            site.later(crashAt, [&] { site.group().crash(site.group().at(0)); });
    };
    return site.run();
}
