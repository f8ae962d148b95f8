#pragma once

#include <LibRouting/retry_allowance.h>
#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>

namespace merlinpier {

// The limit on the retries of one service over all daemons together: in any window, at most retriesPerCall times the
// calls plus minimumRetries.
struct shared_budget_settings {
    double retriesPerCall { 0.2 };
    std::uint32_t minimumRetries { 0 };
    milliseconds window { 10000 };

    bool operator==(shared_budget_settings const&) const = default;
};

// One daemon's part of a retry budget that all daemons share without communicating: each daemon spends the share of its
// own calls and an equal part of the minimum, so that the sum over all daemons stays within the limit. While the number
// of daemons is not known, it spends nothing of the minimum. A daemon that restarts loses its count of retries in the
// window, so in its first window it spends only what the reserve of the others leaves.
//
// A target that runs a retried call also makes that call's own calls again. These count as retries of the service that
// they go to, and would multiply with the retries of that service itself.
class windowed_retry_budget final : public retry_allowance {
public:
    // Keeps references to both arguments: they must outlive the budget, and changes to them take effect at once. The
    // number of daemons is 0 while it is not known.
    windowed_retry_budget(shared_budget_settings const&, std::size_t const& daemons);

    // ^retry_allowance
    void didStartCall(time_point now) override;
    bool tryTake(time_point now) override;
    bool isHalfLeft(time_point now) const override;
    // Counts calls that are repeated by a run that is itself a retry, whether or not the budget allows them. A fraction
    // is the probability that one call is such a call.
    void didRepeat(double calls, time_point now);

private:
    static constexpr std::size_t bucketsPerWindow = 20;
    // The calls and retries in one slice of the window. Slices are numbered from the epoch of time_point; the number is
    // -1 if the bucket is unused.
    struct bucket {
        std::int64_t number { -1 };
        std::uint32_t calls { 0 };
        double retries { 0 };
    };

    // The retries spent in the window, and those allowed in it.
    struct window_state {
        double spent { 0 };
        double allowed { 0 };
    };

    std::int64_t bucketNumber(time_point) const;
    window_state stateAt(time_point) const;
    // Returns the bucket of the time, cleared if it held an earlier slice.
    bucket& bucketAt(time_point);

    shared_budget_settings const& m_settings;
    std::size_t const& m_daemons;
    std::optional<time_point> m_firstCallAt;
    // A ring of the window's buckets and one more, since the current slice is not over yet. Retries count in all of
    // them, calls only in the newest bucketsPerWindow, so that both counts err on the side of fewer retries.
    std::array<bucket, bucketsPerWindow + 1> m_buckets {};
};

} // namespace merlinpier
