#include "../standin/smallsite.h"
#include "../standin/traffic.h"

#include <algorithm>

namespace {

using namespace Review;

// Times since the start of traffic.
constexpr Milliseconds deafAt{4000};
constexpr Milliseconds crashAt{6500};
constexpr Milliseconds deafFor{6500};
constexpr Milliseconds end{14000};

/// Looks whether the backend that now leads has all writes that were acknowledged to requesters.
void checkPromoted(SmallSite &site, Traffic &traffic, const Backend &backend)
{
    std::size_t missing = 0;
    for (const std::string &id : traffic.acknowledgedWrites()) {
        const bool held =
            std::any_of(backend.log.begin(), backend.log.end(), [&](const Commit &commit) { return commit.id == id; });
        if (held)
            continue;
        missing += 1;
        site.recordFile().write("check", "acknowledged write " + id + " is not in the log of " + backend.id);
    }
    const std::string text = std::to_string(missing) + " of " + std::to_string(traffic.acknowledgedWrites().size())
                             + " acknowledged writes are not in the log of " + backend.id + ", which was promoted";
    site.finish(missing > 0 ? SmallSite::Broken : SmallSite::Held, text);
}

} // namespace

int main(int argumentCount, char **arguments)
{
    SmallSiteOptions options = siteOptions(argumentCount, arguments);
    options.backends.waitsForReplica = true;
    SmallSite site(std::move(options));
    Traffic traffic(site, TrafficOptions{});
    site.group().promoted = [&](const Backend &backend) { checkPromoted(site, traffic, backend); };
    site.control = [&](const std::string &) {
        traffic.start();
        site.later(end, [&] {
            const bool served = traffic.servedCount() > 0;
            if (site.hasTrouble())
                site.finish(SmallSite::NotRun, "no backend was promoted");
            else
                site.finish(served ? SmallSite::Held : SmallSite::NotRun, "no promotion, as nothing happened");
        });
        if (!site.hasTrouble())
            return;
        site.later(deafAt, [&] { site.group().at(2).receives = false; });
        site.later(deafAt + deafFor, [&] { site.group().at(2).receives = true; });
        site.later(crashAt, [&] { site.group().crash(site.group().at(0)); });
    };
    return site.run();
}
