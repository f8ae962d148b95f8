#pragma once

#include <LibCore/mutex.h>
#include <cstdint>
#include <functional>
#include <thread>
#include <unordered_map>

namespace merlinpier {

// What a watch waits for. End: the other side sends no more; it may still read. Reset: the connection is over.
enum class disconnect_sign { End, Reset };

// Notices that the other side has closed a connection on which nothing is being read. libmicrohttpd does not look at
// the socket of a suspended connection, so that a caller who has gone would otherwise be found out only by the answer.
class disconnect_watcher {
public:
    using watch_id = std::uint64_t;

    disconnect_watcher();
    ~disconnect_watcher();
    disconnect_watcher(disconnect_watcher const&) = delete;
    disconnect_watcher& operator=(disconnect_watcher const&) = delete;

    // Calls back once, from the watcher's thread and with no lock held. One watch a socket at a time. End includes
    // Reset.
    watch_id add(int socket, disconnect_sign, std::function<void()>);
    // Ends a watch; a callback that has already begun runs to its end.
    void remove(watch_id, int socket);

private:
    void run();
    std::function<void()> take(watch_id);

    int m_epoll { -1 };
    int m_stopEvent { -1 };
    mutex m_mutex { lock_rank::Leaf };
    std::unordered_map<watch_id, std::function<void()>> m_callbacks ABSL_GUARDED_BY(m_mutex);
    watch_id m_nextId ABSL_GUARDED_BY(m_mutex) { 1 };
    std::thread m_thread;
};

} // namespace merlinpier
