#pragma once

#include <LibCore/result.h>
#include <LibCore/time.h>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

namespace merlinpier {

// An object stored by the platform. Within one era, every write gives the object a higher revision, and no revision is
// reused, even after the object is removed.
struct stored_object {
    std::string key;
    std::uint64_t revision { 0 };
    std::string value;
    // How often the store had been restored from an older copy when it returned the object; 0 if the store does not
    // report it. A restore loses the newest writes and assigns their revisions again.
    std::uint64_t era { 0 };

    bool operator==(stored_object const&) const = default;
};

// The position of a write in the history of a store, which restores may have set back.
struct store_position {
    std::uint64_t era { 0 };
    std::uint64_t revision { 0 };

    bool operator==(store_position const&) const = default;
    bool isAfter(store_position const& other) const
    {
        return std::tie(era, revision) > std::tie(other.era, other.revision);
    }
};

inline store_position positionOf(stored_object const& object) { return { object.era, object.revision }; }

// The condition on the object's current revision under which a write or a removal takes effect.
struct write_condition {
    // Not set: no condition. 0: the object must not exist. Otherwise: the object must have this revision.
    std::optional<std::uint64_t> expectedRevision;

    bool operator==(write_condition const&) const = default;
};

using read_callback = std::function<void(result<std::optional<stored_object>>)>;
using write_callback = std::function<void(result<stored_object>)>;
using remove_callback = std::function<void(result<empty>)>;
using list_callback = std::function<void(result<std::vector<stored_object>>)>;

// The platform's object API. Callbacks may run on another thread and must not block. Errors: Conflict (the condition
// did not hold; no effect), RateLimited and Unavailable (no effect), OutcomeUnknown (a write or removal may have taken
// effect).
class object_store {
public:
    virtual ~object_store() = default;
    // Yields the object, or nothing if it does not exist.
    virtual void read(std::string const& key, read_callback) = 0;
    // Writes the object if the condition holds; yields it with its new revision.
    virtual void write(std::string const& key, std::string value, write_condition, write_callback) = 0;
    // Removes the object if the condition holds; succeeds also if the object does not exist.
    virtual void remove(std::string const& key, write_condition, remove_callback) = 0;
    // Yields the objects whose key begins with the prefix, in order of key.
    virtual void list(std::string const& prefix, list_callback) = 0;
    // Waits until the object has a revision above afterRevision or the wait has passed, then yields the current object,
    // or nothing if it does not exist.
    virtual void watch(std::string const& key, std::uint64_t afterRevision, duration wait, read_callback) = 0;
    // The highest era that the store has reported in any answer so far; 0 if it reports none.
    virtual std::uint64_t era() const { return 0; }
};

} // namespace merlinpier
