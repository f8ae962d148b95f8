#pragma once

#include <LibCore/mutex.h>
#include <LibHttp/disconnect_watcher.h>
#include <LibHttp/http_server.h>
#include <memory>
#include <optional>

struct MHD_Connection;

namespace merlinpier {

// One request on a connection of libmicrohttpd, from its first line until its answer is sent or the connection ends.
// A request without an answer suspends its connection; the answer or the caller's disconnect resumes it.
class http_exchange final : public http_responder, public std::enable_shared_from_this<http_exchange> {
public:
    http_exchange(MHD_Connection*, disconnect_watcher&, std::string_view uri);

    // Called from the connection's thread of libmicrohttpd.
    void readHeaders(char const* method, std::string_view version);
    // Keeps a part of the body, unless the body grows beyond the limit.
    void appendBody(std::string_view part, std::size_t limit);
    bool isTooLarge() const { return m_isTooLarge; }
    std::size_t receivedBytes() const { return m_receivedBytes; }
    bool hasHeaders() const { return m_hasHeaders; }
    bool isDispatched() const { return m_isDispatched; }
    // Hands out the whole request, once.
    http_request takeRequest();
    // Yields the answer if there is one; otherwise suspends the connection, or, if the caller has gone, sets isEnded.
    std::optional<http_response> takeResponseOrSuspend(bool& isEnded);
    // The connection is done with this request; it must not be touched any more.
    void didComplete();

    // ^http_responder
    void respond(http_response) override;
    void closeWithoutAnswer() override;
    void setDisconnectHandler(std::function<void()>) override;

private:
    // The caller sends no more. One that has closed its connection and one that still reads look alike until something
    // is sent to it: then the system of the former answers with a reset.
    void didReachEnd();
    void didDisconnect();
    // Sends an interim answer. Returns false if that could not be sent or the caller takes none.
    bool tryProbe() ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void watchFor(disconnect_sign) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void resume() ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);

    MHD_Connection* const m_connection;
    disconnect_watcher& m_watcher;
    int m_socket { -1 };

    // Of the connection's thread alone.
    http_request m_request;
    std::size_t m_receivedBytes { 0 };
    bool m_hasHeaders { false };
    bool m_isTooLarge { false };
    bool m_isDispatched { false };
    bool m_takesInterimAnswers { false };

    mutex m_mutex { lock_rank::Transport };
    std::optional<http_response> m_response ABSL_GUARDED_BY(m_mutex);
    std::function<void()> m_disconnectHandler ABSL_GUARDED_BY(m_mutex);
    disconnect_watcher::watch_id m_watch ABSL_GUARDED_BY(m_mutex) { 0 };
    bool m_isAnswered ABSL_GUARDED_BY(m_mutex) { false };
    bool m_isEnded ABSL_GUARDED_BY(m_mutex) { false };
    bool m_isSuspended ABSL_GUARDED_BY(m_mutex) { false };
};

} // namespace merlinpier
