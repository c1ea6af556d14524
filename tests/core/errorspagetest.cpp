#include "core/resultcode.h"

#include <gtest/gtest.h>

#include <array>
#include <fstream>
#include <string>
#include <vector>

namespace Jujubekeel {

namespace {

constexpr std::size_t columns = 5; // number, name, execution, cause, remedy
using PageRow = std::array<std::string, columns>;

/// The table rows of docs/errors.md that start with a number.
std::vector<PageRow> readPage()
{
    std::ifstream stream(std::string(JUJUBEKEEL_SOURCE_DIR) + "/docs/errors.md");
    std::vector<PageRow> rows;
    for (std::string line; std::getline(stream, line);) {
        if (line.size() < 3 || line[0] != '|' || line[2] < '0' || line[2] > '9')
            continue;
        PageRow row;
        std::size_t begin = 1;
        for (std::string &cell : row) {
            const std::size_t end = line.find('|', begin);
            EXPECT_NE(end, std::string::npos) << line;
            if (end == std::string::npos)
                return rows;
            cell = line.substr(begin + 1, end - begin - 2);
            begin = end + 1;
        }
        EXPECT_EQ(begin, line.size()) << "more than five columns: " << line;
        rows.push_back(row);
    }
    return rows;
}

// Guards against a page of result codes that differs from the table in the code.
TEST(ErrorsPage, MatchesTheResultCodeTable)
{
    const std::vector<PageRow> page = readPage();
    const auto table = resultCodeTable();
    ASSERT_EQ(page.size(), table.size());
    for (std::size_t index = 0; index < page.size(); ++index) {
        const ResultCodeInfo &info = table[index];
        EXPECT_EQ(page[index][0], std::to_string(static_cast<unsigned>(info.code)));
        EXPECT_EQ(page[index][1], info.name);
        EXPECT_EQ(page[index][2], executionName(info.execution));
        EXPECT_EQ(page[index][3], info.cause);
        EXPECT_EQ(page[index][4], info.remedy);
    }
}

// Guards against a result code in the wrong range: callers take the execution from the first digit.
TEST(ErrorsPage, RangesMatchTheExecution)
{
    std::uint16_t last = 0;
    for (const ResultCodeInfo &info : resultCodeTable()) {
        const auto number = static_cast<std::uint16_t>(info.code);
        EXPECT_TRUE(number == 0 || number > last) << number;
        last = number;
        if (number >= 100 && number < 300) {
            EXPECT_EQ(info.execution, Execution::NotRun) << number;
        }
        if (number >= 400 && number < 500) {
            EXPECT_EQ(info.execution, Execution::Unknown) << number;
        }
        if (number >= 500 && number < 600) {
            EXPECT_EQ(info.execution, Execution::Failed) << number;
        }
    }
}

} // namespace

} // namespace Jujubekeel
