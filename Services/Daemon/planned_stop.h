#pragma once

#include "daemon.h"
#include "discovery.h"

#include <LibLoop/loop_http_server.h>
#include <functional>

namespace merlinpier {

// Whether new connections are taken when the callers have had time to learn of the stop.
enum class late_connections { Accepted, Refused };

// The planned stop of a process: its daemon leaves, callers' connections are closed after the answers that are due on
// them, and the process ends when every answer has been written and the store has every departure that was
// acknowledged, or when the drain timeout has passed.
class planned_stop {
public:
    // The daemon, its discovery and the callers' server must outlive the stop.
    planned_stop(daemon&, discovery&, loop_http_server& callers, late_connections, std::function<void()> didEnd);
    planned_stop(planned_stop const&) = delete;
    planned_stop& operator=(planned_stop const&) = delete;

private:
    void endWhenDone();
    void logWhatIsLeft();

    daemon& m_daemon;
    discovery& m_discovery;
    loop_http_server& m_callers;
    std::function<void()> m_didEnd;
    time_point m_began { currentTime() };
    time_point m_nextLog {};
    timer_subscription m_noticeTimer;
    timer_subscription m_pollTimer;
};

} // namespace merlinpier
