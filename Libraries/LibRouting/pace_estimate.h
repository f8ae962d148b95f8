#pragma once

#include <LibCore/time.h>
#include <cstdint>

namespace merlinpier {

// How long work takes at a target, relative to the usual, as the target last announced it. The pace of a VM changes
// within fractions of a second, so the difference from the usual pace is halved with every paceHalfLife since the
// announcement. Without an announcement, work takes as long as usual.
class pace_estimate {
public:
    static constexpr std::uint32_t usualPercent = 100;
    static constexpr std::uint32_t maximumPercent = 10000;
    // A VM that turns slow is so for about 600 ms.
    static constexpr milliseconds paceHalfLife { 300 };

    pace_estimate() = default;
    // The pace in percent of the usual time; 0 if it is not known.
    pace_estimate(std::uint32_t percent, time_point announcedAt);

    bool isKnown() const { return m_percent > 0; }
    // When the pace was announced; only meaningful if it is known.
    time_point announcedAt() const { return m_announcedAt; }
    // The pace expected at the given time, in percent of the usual time; 0 if it is not known.
    std::uint32_t percentAt(time_point) const;
    // How long work takes that is started at the given time and usually takes the given time. The pace returns towards
    // the usual one while the work is done.
    duration timeFor(duration usual, time_point startedAt) const;

    bool operator==(pace_estimate const&) const = default;

private:
    // How much longer work takes at that time, as a fraction of the usual time; negative at a fast pace.
    double excessAt(time_point) const;

    std::uint32_t m_percent { 0 };
    time_point m_announcedAt {};
};

// How long work would usually have taken that took the measured time while the pace went from the first to the second
// percentage. A percentage of 0 stands for a pace that is not known, which is taken as usual.
duration usualTime(duration measured, std::uint32_t percentAtStart, std::uint32_t percentAtEnd);

} // namespace merlinpier
