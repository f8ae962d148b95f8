#pragma once

#include <LibCore/time.h>
#include <string>

namespace merlinpier {

// What a relay does with the bytes of a connection. The silent modes drop bytes for good without closing anything, like
// a device between two VMs that has lost track of a connection.
enum class relay_mode { Pass, Silent, SilentForward, SilentBack, Refuse, Delay };

// Which connections a change of mode is for: those open now, or those to come as well.
enum class relay_scope { Existing, All };

// A change of mode.
struct relay_change {
    relay_mode mode { relay_mode::Pass };
    milliseconds delay { 0 };
    relay_scope scope { relay_scope::All };
    // Only connections from addresses that begin with this text; empty for all.
    std::string from;

    bool operator==(relay_change const&) const = default;
};

} // namespace merlinpier
