#include "configcheck/figures.h"

#include <array>
#include <cmath>
#include <cstdio>

namespace Jujubekeel {

std::string numberText(double number)
{
    std::array<char, 40> buffer{};
    constexpr double largestFixed = 1e15;
    if (std::abs(number) >= largestFixed || (number != 0 && std::abs(number) < 0.001)) {
        std::snprintf(buffer.data(), buffer.size(), "%.4g", number);
        return buffer.data();
    }
    std::snprintf(buffer.data(), buffer.size(), "%.3f", number);
    std::string text = buffer.data();
    text.erase(text.find_last_not_of('0') + 1);
    if (text.back() == '.')
        text.pop_back();
    return text;
}

std::string millisecondsText(Duration duration)
{
    return numberText(static_cast<double>(duration.count()) / 1000) + " ms";
}

} // namespace Jujubekeel
