#pragma once

#include <LibCalls/call_client.h>
#include <LibCalls/call_server.h>
#include <LibCore/result.h>
#include <LibDistribution/distributor.h>
#include <LibMembership/member.h>
#include <LibRollout/rollout_settings.h>
#include <LibRouting/target_chooser.h>
#include <LibSettings/settings_reader.h>
#include <string>

namespace merlinpier {

// Everything that the settings file of a daemon says, checked as a whole.
struct daemon_settings {
    std::string vm;
    std::string zone;
    // IP number and port of the listener for other daemons.
    std::string peerAddress;
    // Where other daemons reach that listener; differs from peerAddress behind a relay or a translation of addresses.
    std::string advertisedAddress;
    // IP number and port of the listener for callers, targets and operators.
    std::string httpAddress;
    // IP number and port of the platform's object API.
    std::string platformAddress;
    membership_settings membership;
    distribution_settings distribution;
    chooser_settings chooser;
    call_client_settings client;
    call_server_settings server;
    rollout_settings rollout;
    milliseconds targetLease { 3000 };
    // Callers and peers get this long to hear of a planned stop before the process goes.
    milliseconds leaveNotice { 500 };
    // How long a planned stop waits for calls in flight.
    milliseconds drainTimeout { 30000 };
    // How long an operator's submission may take.
    milliseconds submissionTimeout { 10000 };
    std::size_t maximumBodyBytes { 1024 * 1024 };
    // 0 for information, 1 for warnings only.
    int logLevel { 0 };

    // Reads and checks the settings; every fault is in the error's message.
    static result<daemon_settings> tryRead(settings_reader);
};

} // namespace merlinpier
