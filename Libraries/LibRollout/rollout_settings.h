#pragma once

#include <LibCore/time.h>

namespace merlinpier {

// Rules of a deployment for the rollouts of new versions of its services.
struct rollout_settings {
    bool isEnabled { false };
    // Bound on the share of a service's requests that a bad version may get, and the number of requests above it.
    double exposeShare { 0.1 };
    double exposeSlack { 50 };
    // A bad version gets no request later than this after its 50th bad answer.
    milliseconds rollbackTime { 5000 };

    bool operator==(rollout_settings const&) const = default;

    // The share of its own attempts that each daemon sends to the new version. The margin to the bound covers the
    // requests that reach it between the switch and a finding.
    double canaryShare() const { return 0.9 * exposeShare; }
    // Requests of the slack that all daemons together send to the new version beside the share: evidence that is gained
    // at a low rate costs fewer exposed requests than that gained after the switch.
    double canaryCredit() const { return 0.6 * exposeSlack; }
};

} // namespace merlinpier
