#include "net/boottime.h"

#include <ctime>

namespace Jujubekeel {

namespace {

Duration readClock(clockid_t clock)
{
    timespec time{};
    clock_gettime(clock, &time);
    return std::chrono::duration_cast<Duration>(std::chrono::seconds(time.tv_sec)
                                                + std::chrono::nanoseconds(time.tv_nsec));
}

} // namespace

TimePoint bootTime()
{
    return readClock(CLOCK_BOOTTIME);
}

Duration wallClockTime()
{
    return readClock(CLOCK_REALTIME);
}

} // namespace Jujubekeel
