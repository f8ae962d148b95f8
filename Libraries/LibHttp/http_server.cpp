#include <LibHttp/http_server.h>

#include <LibCore/log.h>
#include <LibHttp/http_exchange.h>
#include <absl/strings/numbers.h>
#include <absl/time/time.h>
#include <arpa/inet.h>
#include <cerrno>
#include <cstring>
#include <microhttpd.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <set>
#include <sys/socket.h>
#include <unistd.h>

namespace merlinpier {

namespace {

constexpr int listenBacklog = 1024;
constexpr absl::Duration stopPatience = absl::Seconds(1);
// A body beyond its limit is read and dropped up to this many times the limit, so that the caller can see the 413.
constexpr std::size_t discardFactor = 4;

// Makes a listening socket for an IP number; closes it again on failure.
result<int> listenOn(std::string const& address, std::uint16_t port)
{
    sockaddr_in bound {};
    bound.sin_family = AF_INET;
    bound.sin_port = htons(port);
    if (inet_pton(AF_INET, address.c_str(), &bound.sin_addr) != 1)
        return error { error_kind::BadInput, "\"" + address + "\" is not an IPv4 number", "give one such as 10.0.0.1" };
    int const listener = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    int const on = 1;
    setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    // Accepted connections inherit this; answers are written whole, so waiting for more would only delay them.
    setsockopt(listener, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    if (bind(listener, reinterpret_cast<sockaddr const*>(&bound), sizeof bound) == 0
        && listen(listener, listenBacklog) == 0)
        return listener;
    std::string const reason = std::strerror(errno);
    close(listener);
    return error { error_kind::Unavailable, "cannot listen on " + address + ":" + std::to_string(port) + ": " + reason,
        "choose another port, or end the process that holds it" };
}

std::uint16_t boundPort(int listener)
{
    sockaddr_in bound {};
    socklen_t size = sizeof bound;
    getsockname(listener, reinterpret_cast<sockaddr*>(&bound), &size);
    return ntohs(bound.sin_port);
}

http_response stoppingResponse()
{
    return jsonResponse(503,
        R"({"kind":"unavailable","message":"the process is stopping","remedy":"send the request to another process"})");
}

http_response tooLargeResponse(std::size_t limit)
{
    return jsonResponse(413,
        R"({"kind":"bad_input","message":"the body is longer than )" + std::to_string(limit)
            + R"( bytes","remedy":"send less in one request"})");
}

MHD_Result queueResponse(MHD_Connection* connection, http_response const& answer)
{
    // libmicrohttpd never writes to the buffer, and copies it here.
    MHD_Response* response = MHD_create_response_from_buffer(
        answer.body.size(), const_cast<char*>(answer.body.data()), MHD_RESPMEM_MUST_COPY);
    if (response == nullptr)
        return MHD_NO;
    for (auto const& field : answer.headers) {
        if (isConnectionHeader(field.name))
            continue;
        if (MHD_add_response_header(response, field.name.c_str(), field.value.c_str()) != MHD_YES)
            logWarning("http_header_dropped", { { "name", field.name } });
    }
    MHD_Result const queued = MHD_queue_response(connection, static_cast<unsigned>(answer.status), response);
    MHD_destroy_response(response);
    return queued;
}

class microhttpd_server final : public http_server {
public:
    microhttpd_server(http_server_settings settings, http_handler& handler)
        : m_settings(std::move(settings))
        , m_handler(handler)
    {
    }

    ~microhttpd_server() override { stop(); }

    result<empty> start()
    {
        int const listener = TRY(listenOn(m_settings.address, m_settings.port));
        m_port = boundPort(listener);
        m_daemon = MHD_start_daemon(MHD_USE_EPOLL_INTERNAL_THREAD | MHD_ALLOW_SUSPEND_RESUME, 0, nullptr, nullptr,
            &microhttpd_server::onData, this, MHD_OPTION_LISTEN_SOCKET, listener, MHD_OPTION_THREAD_POOL_SIZE,
            m_settings.threads, MHD_OPTION_CONNECTION_LIMIT, m_settings.maximumConnections,
            MHD_OPTION_CONNECTION_TIMEOUT, m_settings.idleTimeoutSeconds, MHD_OPTION_URI_LOG_CALLBACK,
            &microhttpd_server::onUri, this, MHD_OPTION_NOTIFY_COMPLETED, &microhttpd_server::onCompleted, this,
            MHD_OPTION_END);
        if (m_daemon != nullptr)
            return empty {};
        close(listener);
        return error { error_kind::Unavailable, "the HTTP server did not start",
            "raise the limits of the process on threads and open files" };
    }

    std::uint16_t port() const override { return m_port; }

    void stop() override
    {
        if (m_daemon == nullptr)
            return;
        for (auto const& exchange : beginStop())
            exchange->respond(stoppingResponse());
        waitForAnswers();
        MHD_stop_daemon(m_daemon);
        m_daemon = nullptr;
    }

private:
    // The first line of a request has been read; the exchange lives until onCompleted.
    static void* onUri(void* self, char const* uri, MHD_Connection* connection)
    {
        auto& server = *static_cast<microhttpd_server*>(self);
        return new std::shared_ptr<http_exchange>(std::make_shared<http_exchange>(connection, server.m_watcher, uri));
    }

    static void onCompleted(void* self, MHD_Connection*, void** context, MHD_RequestTerminationCode)
    {
        std::unique_ptr<std::shared_ptr<http_exchange>> const holder(
            static_cast<std::shared_ptr<http_exchange>*>(*context));
        *context = nullptr;
        if (!holder)
            return;
        (*holder)->didComplete();
        static_cast<microhttpd_server*>(self)->forget(*holder);
    }

    static MHD_Result onData(void* self, MHD_Connection* connection, char const*, char const* method,
        char const* version, char const* data, size_t* size, void** context)
    {
        auto& server = *static_cast<microhttpd_server*>(self);
        auto const exchange = *static_cast<std::shared_ptr<http_exchange>*>(*context);
        if (!exchange->hasHeaders())
            return server.didReceiveHeaders(connection, *exchange, method, version);
        if (*size > 0)
            return server.didReceiveBody(*exchange, data, size);
        return server.didReceiveWhole(connection, exchange);
    }

    MHD_Result didReceiveHeaders(
        MHD_Connection* connection, http_exchange& exchange, char const* method, char const* version)
    {
        exchange.readHeaders(method, version);
        char const* length = MHD_lookup_connection_value(connection, MHD_HEADER_KIND, "Content-Length");
        std::uint64_t bytes = 0;
        // An answer before the body has been read closes the connection, which resets it under a caller that still
        // sends: the caller may lose the answer.
        if (length != nullptr && absl::SimpleAtoi(length, &bytes)
            && bytes > discardFactor * m_settings.maximumBodyBytes)
            return queueResponse(connection, tooLargeResponse(m_settings.maximumBodyBytes));
        return MHD_YES;
    }

    MHD_Result didReceiveBody(http_exchange& exchange, char const* data, size_t* size)
    {
        exchange.appendBody(std::string_view(data, *size), m_settings.maximumBodyBytes);
        *size = 0;
        return exchange.receivedBytes() > discardFactor * m_settings.maximumBodyBytes ? MHD_NO : MHD_YES;
    }

    MHD_Result didReceiveWhole(MHD_Connection* connection, std::shared_ptr<http_exchange> const& exchange)
    {
        if (exchange->isTooLarge())
            return queueResponse(connection, tooLargeResponse(m_settings.maximumBodyBytes));
        if (!exchange->isDispatched())
            dispatch(exchange);
        bool isEnded = false;
        auto const response = exchange->takeResponseOrSuspend(isEnded);
        if (response)
            return queueResponse(connection, *response);
        return isEnded ? MHD_NO : MHD_YES;
    }

    void dispatch(std::shared_ptr<http_exchange> const& exchange)
    {
        auto request = exchange->takeRequest();
        if (remember(exchange))
            m_handler.didReceiveRequest(std::move(request), exchange);
        else
            exchange->respond(stoppingResponse());
    }

    // Returns false if the server is stopping.
    bool remember(std::shared_ptr<http_exchange> const& exchange)
    {
        mutex_lock lock(m_mutex);
        if (!m_isStopping)
            m_exchanges.insert(exchange);
        return !m_isStopping;
    }

    void forget(std::shared_ptr<http_exchange> const& exchange)
    {
        mutex_lock lock(m_mutex);
        m_exchanges.erase(exchange);
        if (m_isStopping && m_exchanges.empty())
            m_allForgotten.notifyAll();
    }

    std::set<std::shared_ptr<http_exchange>> beginStop()
    {
        mutex_lock lock(m_mutex);
        m_isStopping = true;
        return m_exchanges;
    }

    void waitForAnswers()
    {
        mutex_lock lock(m_mutex);
        auto const giveUp = currentTime() + absl::ToChronoNanoseconds(stopPatience);
        while (!m_exchanges.empty() && currentTime() < giveUp)
            m_allForgotten.waitFor(m_mutex, stopPatience);
    }

    http_server_settings const m_settings;
    http_handler& m_handler;
    disconnect_watcher m_watcher;
    MHD_Daemon* m_daemon { nullptr };
    std::uint16_t m_port { 0 };

    mutex m_mutex { lock_rank::Leaf };
    condition m_allForgotten;
    bool m_isStopping ABSL_GUARDED_BY(m_mutex) { false };
    std::set<std::shared_ptr<http_exchange>> m_exchanges ABSL_GUARDED_BY(m_mutex);
};

} // namespace

result<std::unique_ptr<http_server>> http_server::tryCreate(http_server_settings settings, http_handler& handler)
{
    auto server = std::make_unique<microhttpd_server>(std::move(settings), handler);
    TRY(server->start());
    return std::unique_ptr<http_server>(std::move(server));
}

} // namespace merlinpier
