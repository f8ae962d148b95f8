#pragma once

#include <LibCore/time.h>
#include <LibWire/membership_messages.h>
#include <cstdint>
#include <optional>
#include <string>

namespace merlinpier {

// The status that daemons have written to an order in the store.
struct stored_status {
    rollout_state state { rollout_state::Running };
    std::string targetVersion;
    // Revision by which the order is identified; 0 if the status does not name it.
    std::uint64_t order { 0 };
    // Wall-clock time of the order in milliseconds since 1970, as the first writer saw it; 0 if it is not named.
    std::uint64_t startedMs { 0 };

    bool operator==(stored_status const&) const = default;
};

// An operator's order in the store, with its status.
struct stored_rollout {
    // Name of the object in the store.
    std::string name;
    std::string service;
    std::string targetVersion;
    milliseconds orderDuration { 0 };
    // Revision of the object, which rises with each change of the order or the status.
    std::uint64_t revision { 0 };
    // Revision at which the object was created.
    std::uint64_t createdRevision { 0 };
    std::optional<stored_status> status;

    bool operator==(stored_rollout const&) const = default;

    // Whether the status is about the order as it stands, not about an earlier one on the same object.
    bool isStatusCurrent() const
    {
        return status && status->targetVersion == targetVersion
            && (status->order == 0 || status->order >= createdRevision);
    }
    // Revision by which all daemons identify the order. Status writes raise the object's revision, so the first status
    // records the revision that the order had.
    std::uint64_t order() const { return isStatusCurrent() && status->order > 0 ? status->order : revision; }
};

} // namespace merlinpier
