#pragma once

#include <LibCore/time.h>
#include <curl/curl.h>
#include <optional>

namespace merlinpier {

// Waits by epoll for the sockets and the timer of a libcurl multi handle, so that a wake-up costs what has happened and
// not what is open. Used by one thread, but for wake().
class curl_event_loop {
public:
    // Takes over the socket and timer functions of the multi handle, which outlives the loop.
    explicit curl_event_loop(CURLM*);
    ~curl_event_loop();
    curl_event_loop(curl_event_loop const&) = delete;
    curl_event_loop& operator=(curl_event_loop const&) = delete;

    // Waits until there is something to do, and lets libcurl do it.
    void runOnce();
    // Makes runOnce return; any thread may call.
    void wake();

private:
    static int onSocket(CURL*, curl_socket_t, int what, void* self, void* socketData);
    static int onTimer(CURLM*, long timeoutMs, void* self);
    void watch(curl_socket_t, int what, bool isKnown);
    int waitTimeoutMs() const;
    void runDueTimer();
    void act(curl_socket_t, int events);

    CURLM* const m_multi;
    int m_epoll { -1 };
    int m_wakeEvent { -1 };
    // When libcurl wants to be called without an event.
    std::optional<time_point> m_timerDueAt;
};

} // namespace merlinpier
