#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>
#include <iterator>
#include <regex>
#include <set>
#include <string>

namespace Jujubekeel {

namespace {

std::string readFile(const std::filesystem::path &file)
{
    std::ifstream input(file);
    return {std::istreambuf_iterator<char>(input), {}};
}

std::set<std::string> namesIn(const std::string &text, const std::regex &pattern)
{
    std::set<std::string> names;
    for (auto match = std::sregex_iterator(text.begin(), text.end(), pattern); match != std::sregex_iterator(); ++match)
        names.insert((*match)[1].str());
    return names;
}

} // namespace

// Guards against metrics that are exported but not described in docs/metrics.md.
TEST(MetricsPage, listsEveryMetricInTheSources)
{
    const std::filesystem::path root = JUJUBEKEEL_SOURCE_DIR;
    const std::string page = readFile(root / "docs" / "metrics.md");
    const std::set<std::string> documented = namesIn(page, std::regex("`(jujubekeel_[a-z_]+)"));

    std::set<std::string> used;
    for (const auto &entry : std::filesystem::recursive_directory_iterator(root / "src")) {
        if (entry.path().extension() != ".cpp")
            continue;
        // A literal that ends in an underscore is a prefix, to which the code appends the rest of the name.
        used.merge(namesIn(readFile(entry.path()), std::regex("\"(jujubekeel_[a-z_]*[a-z])[\"{]")));
    }
    ASSERT_GT(used.size(), 40U) << "the sources were not found";
    for (const std::string &name : used)
        EXPECT_TRUE(documented.contains(name)) << name;
}

} // namespace Jujubekeel
