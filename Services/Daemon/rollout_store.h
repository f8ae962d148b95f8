#pragma once

#include <LibCore/result.h>
#include <LibRollout/stored_rollout.h>
#include <functional>
#include <vector>

namespace merlinpier {

// The orders for rollouts in the platform's store, with their status. Callbacks come on the loop.
class rollout_store {
public:
    virtual ~rollout_store() = default;

    using list_callback = std::function<void(result<std::vector<stored_rollout>> const&)>;
    // Lists all orders. The answer may be some seconds old.
    virtual void list(list_callback) = 0;
    using write_callback = std::function<void(result<stored_rollout> const&)>;
    // Replaces the status if the object still has its revision. Yields the object as it is in the store then, also if
    // somebody else has changed it first. After OutcomeUnknown the status may have been written.
    virtual void writeStatus(stored_rollout const&, stored_status const&, write_callback) = 0;
};

} // namespace merlinpier
