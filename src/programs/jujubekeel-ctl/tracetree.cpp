#include "programs/jujubekeel-ctl/tracetree.h"

#include <algorithm>
#include <cstddef>
#include <map>
#include <set>
#include <tuple>

namespace Jujubekeel {

namespace {

std::string textOf(const nlohmann::ordered_json &json, const char *field)
{
    return json.contains(field) && json.at(field).is_string() ? json.at(field).get<std::string>() : std::string{};
}

std::int64_t numberOf(const nlohmann::ordered_json &json, const char *field)
{
    return json.contains(field) && json.at(field).is_number_integer() ? json.at(field).get<std::int64_t>() : 0;
}

} // namespace

std::vector<TraceHop> hopsFromJson(const std::string &instance, const nlohmann::ordered_json &response)
{
    std::vector<TraceHop> hops;
    if (!response.is_object() || !response.contains("spans") || !response.at("spans").is_array())
        return hops;
    for (const auto &span : response.at("spans")) {
        if (!span.is_object() || textOf(span, "span").empty())
            continue;
        TraceHop hop{.instance = instance,
                     .span = textOf(span, "span"),
                     .parent = textOf(span, "parent"),
                     .name = textOf(span, "name"),
                     .startUs = numberOf(span, "start_us"),
                     .durationUs = numberOf(span, "duration_us"),
                     .attributes = {}};
        if (span.contains("attributes") && span.at("attributes").is_object()) {
            for (const auto &[name, value] : span.at("attributes").items())
                hop.attributes.emplace_back(name, value.is_string() ? value.get<std::string>() : value.dump());
        }
        hops.push_back(std::move(hop));
    }
    return hops;
}

std::vector<TraceLine> arrangeHops(std::vector<TraceHop> hops)
{
    // Start times are compared within one instance only, since instances have no common clock.
    std::ranges::stable_sort(hops, [](const TraceHop &left, const TraceHop &right) {
        return std::tie(left.instance, left.startUs) < std::tie(right.instance, right.startUs);
    });
    std::set<std::string> seen;
    std::erase_if(hops, [&](const TraceHop &hop) { return !seen.insert(hop.span).second; });
    std::map<std::string, std::size_t> bySpan;
    for (std::size_t index = 0; index < hops.size(); ++index)
        bySpan.emplace(hops[index].span, index);

    std::map<std::string, std::vector<std::size_t>> children;
    std::vector<std::size_t> roots;
    for (std::size_t index = 0; index < hops.size(); ++index) {
        if (bySpan.contains(hops[index].parent))
            children[hops[index].parent].push_back(index);
        else
            roots.push_back(index);
    }

    std::vector<TraceLine> lines;
    std::set<std::size_t> added;
    const auto addSubtree = [&](std::size_t root) {
        std::vector<std::pair<std::size_t, std::uint32_t>> pending{{root, 0}};
        while (!pending.empty()) {
            const auto [index, depth] = pending.back();
            pending.pop_back();
            if (!added.insert(index).second)
                continue;
            TraceLine line{.hop = hops[index], .depth = depth, .ownUs = hops[index].durationUs};
            const auto found = children.find(hops[index].span);
            if (found != children.end()) {
                for (auto child = found->second.rbegin(); child != found->second.rend(); ++child) {
                    line.ownUs -= hops[*child].durationUs;
                    pending.emplace_back(*child, depth + 1);
                }
            }
            // Child hops may overlap, for example a second attempt while the first one still runs.
            line.ownUs = std::max<std::int64_t>(line.ownUs, 0);
            lines.push_back(std::move(line));
        }
    };
    for (const std::size_t root : roots)
        addSubtree(root);
    for (std::size_t index = 0; index < hops.size(); ++index)
        addSubtree(index);
    return lines;
}

} // namespace Jujubekeel
