#pragma once

#include <LibCore/time.h>
#include <LibWire/membership_messages.h>
#include <cstdint>
#include <optional>
#include <string>

namespace merlinpier {

// A rollout as this daemon knows it.
struct rollout {
    std::string service;
    // Revision of the order in the store.
    std::uint64_t order { 0 };
    std::string targetVersion;
    rollout_state state { rollout_state::Running };
    milliseconds orderDuration { 0 };
    // When the order was given, as far as it is known here.
    time_point orderedAt {};
    // When the present state became known here.
    time_point changedAt {};

    bool operator==(rollout const&) const = default;

    bool isFinal() const { return state == rollout_state::Done || state == rollout_state::RolledBack; }
    // Time since the order as a share of the time until its deadline.
    double progress(time_point now) const
    {
        return std::chrono::duration<double>(now - orderedAt) / std::chrono::duration<double>(orderDuration);
    }
};

char const* stateName(rollout_state);

} // namespace merlinpier
