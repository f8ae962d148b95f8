#pragma once

#include <LibRouting/retry_allowance.h>
#include <array>
#include <cstddef>
#include <cstdint>

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
// own calls and an equal part of the minimum, so that the sum over all daemons stays within the limit. Half of this
// allowance is held in reserve: a daemon that restarts loses its count of retries in the window, and a target that runs
// a call again also repeats its own outgoing calls, which cannot be told apart from first calls.
class windowed_retry_budget final : public retry_allowance {
public:
    // Keeps references to both arguments: they must outlive the budget, and changes to them take effect at once.
    windowed_retry_budget(shared_budget_settings const&, std::size_t const& daemons);

    // ^retry_allowance
    void didStartCall(time_point now) override;
    bool tryTake(time_point now) override;

private:
    static constexpr std::size_t bucketsPerWindow = 20;
    // The calls and retries in one slice of the window. Slices are numbered from the epoch of time_point; the number is
    // -1 if the bucket is unused.
    struct bucket {
        std::int64_t number { -1 };
        std::uint32_t calls { 0 };
        std::uint32_t retries { 0 };
    };

    std::int64_t bucketNumber(time_point) const;
    // Returns the bucket of the time, cleared if it held an earlier slice.
    bucket& bucketAt(time_point);

    shared_budget_settings const& m_settings;
    std::size_t const& m_daemons;
    // A ring of the window's buckets and one more, since the current slice is not over yet. Retries count in all of
    // them, calls only in the newest bucketsPerWindow, so that both counts err on the side of fewer retries.
    std::array<bucket, bucketsPerWindow + 1> m_buckets {};
};

} // namespace merlinpier
