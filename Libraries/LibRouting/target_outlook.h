#pragma once

#include <LibCore/time.h>
#include <LibRouting/routing_snapshot.h>
#include <cstddef>
#include <cstdint>
#include <optional>

namespace merlinpier {

// What this daemon knows of a target that a call could be sent to.
struct target_outlook {
    route_target target;
    bool isEjected { false };
    // The target lately refused such a call and would most likely refuse it again.
    bool isExpectedToRefuse { false };
    // The last load report, in thousandths of the slots, and its age.
    std::optional<std::uint32_t> loadPermille;
    std::optional<duration> loadReportAge;
    // Attempts of this daemon in flight.
    std::size_t outstanding { 0 };
    duration expectedFinish { 0 };
    // As a fraction of the value of a call that ends in time.
    double cost { 0 };

    bool operator==(target_outlook const&) const = default;
};

} // namespace merlinpier
