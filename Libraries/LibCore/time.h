#pragma once

#include <chrono>

namespace merlinpier {

// Monotonic time. Decisions receive it as an argument and never read a clock; wall clocks of two VMs are not compared.
using time_point = std::chrono::steady_clock::time_point;
using duration = std::chrono::steady_clock::duration;
using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

// Reads the monotonic clock. Only processes and I/O libraries call this.
inline time_point currentTime() { return std::chrono::steady_clock::now(); }

// Returns a duration in whole milliseconds, rounded down.
inline std::int64_t toMilliseconds(duration value) { return std::chrono::duration_cast<milliseconds>(value).count(); }

} // namespace merlinpier
