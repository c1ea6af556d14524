#include "virtualpool/organisationshares.h"

#include <cmath>

namespace Jujubekeel {

std::vector<double> organisationShares(std::size_t count)
{
    std::vector<double> shares(count);
    double sum = 0;
    for (std::size_t index = 0; index < count; ++index) {
        shares[index] = std::pow(static_cast<double>(index + 1), -organisationSkew);
        sum += shares[index];
    }
    for (double &share : shares)
        share /= sum;
    return shares;
}

} // namespace Jujubekeel
