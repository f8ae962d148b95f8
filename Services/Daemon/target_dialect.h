#pragma once

#include <LibCalls/call_server.h>
#include <LibHttp/http_client.h>
#include <Services/Daemon/target_notice.h>

namespace merlinpier {

// What a target's answer says about the call that it was sent.
enum class target_verdict {
    // The answer is whole and the call's own; the call ran.
    Ran,
    // The target vouches that it did not run the call.
    NotRun,
    // Another target has the address; the call did not run.
    OtherTarget,
    // The answer cannot be the one to this call; the call may have run.
    Corrupt,
};

// How a daemon and the targets of its VM speak to each other.
class target_dialect {
public:
    virtual ~target_dialect() = default;
    virtual http_client_request requestFor(run_call const&) const = 0;
    virtual target_verdict judge(run_call const&, http_response const&) const = 0;
    virtual target_notice readNotice(http_response const&) const = 0;
};

} // namespace merlinpier
