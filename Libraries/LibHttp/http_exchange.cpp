#include <LibHttp/http_exchange.h>

#include <cerrno>
#include <microhttpd.h>
#include <sys/socket.h>

namespace merlinpier {

namespace {

// A client discards it if it has asked for none (RFC 9110, section 15.2.1).
constexpr std::string_view interimAnswer = "HTTP/1.1 100 Continue\r\n\r\n";

MHD_Result addField(void* fields, MHD_ValueKind, char const* name, size_t nameSize, char const* value, size_t valueSize)
{
    http_field field { std::string(name, nameSize), value == nullptr ? "" : std::string(value, valueSize) };
    static_cast<std::vector<http_field>*>(fields)->push_back(std::move(field));
    return MHD_YES;
}

} // namespace

http_exchange::http_exchange(MHD_Connection* connection, disconnect_watcher& watcher, std::string_view uri)
    : m_connection(connection)
    , m_watcher(watcher)
{
    m_request.path = std::string(uri.substr(0, uri.find('?')));
    auto const* info = MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CONNECTION_FD);
    if (info != nullptr)
        m_socket = info->connect_fd;
}

void http_exchange::readHeaders(char const* method, std::string_view version)
{
    m_hasHeaders = true;
    // HTTP/1.0 has no interim answers (RFC 9110, section 15.2).
    m_takesInterimAnswers = version == MHD_HTTP_VERSION_1_1;
    m_request.method = method;
    MHD_get_connection_values_n(m_connection, MHD_GET_ARGUMENT_KIND, addField, &m_request.query);
    MHD_get_connection_values_n(m_connection, MHD_HEADER_KIND, addField, &m_request.headers);
}

void http_exchange::appendBody(std::string_view part, std::size_t limit)
{
    m_receivedBytes += part.size();
    if (m_receivedBytes > limit) {
        m_isTooLarge = true;
        m_request.body.clear();
        return;
    }
    m_request.body.append(part);
}

http_request http_exchange::takeRequest()
{
    m_isDispatched = true;
    return std::move(m_request);
}

std::optional<http_response> http_exchange::takeResponseOrSuspend(bool& isEnded)
{
    mutex_lock lock(m_mutex);
    isEnded = m_isEnded;
    if (m_isAnswered || m_isEnded)
        return std::move(m_response);
    m_isSuspended = true;
    MHD_suspend_connection(m_connection);
    watchFor(disconnect_sign::End);
    return std::nullopt;
}

void http_exchange::watchFor(disconnect_sign sign)
{
    m_watch = m_watcher.add(m_socket, sign, [self = weak_from_this(), sign] {
        if (auto const exchange = self.lock())
            sign == disconnect_sign::End ? exchange->didReachEnd() : exchange->didDisconnect();
    });
}

bool http_exchange::tryProbe()
{
    if (!m_takesInterimAnswers)
        return false;
    // Nothing else writes to a suspended connection.
    ssize_t const sent = ::send(m_socket, interimAnswer.data(), interimAnswer.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
    // Bytes of an earlier answer that still wait to be sent are as good.
    return sent == static_cast<ssize_t>(interimAnswer.size()) || (sent < 0 && errno == EAGAIN);
}

void http_exchange::didReachEnd()
{
    {
        mutex_lock lock(m_mutex);
        if (!m_isSuspended)
            return;
        if (tryProbe()) {
            m_watcher.remove(m_watch, m_socket);
            watchFor(disconnect_sign::Reset);
            return;
        }
    }
    didDisconnect();
}

void http_exchange::resume()
{
    if (!m_isSuspended)
        return;
    m_isSuspended = false;
    m_watcher.remove(m_watch, m_socket);
    MHD_resume_connection(m_connection);
}

void http_exchange::respond(http_response response)
{
    mutex_lock lock(m_mutex);
    if (m_isAnswered || m_isEnded)
        return;
    m_isAnswered = true;
    m_response = std::move(response);
    m_disconnectHandler = nullptr;
    resume();
}

void http_exchange::closeWithoutAnswer()
{
    mutex_lock lock(m_mutex);
    if (m_isAnswered || m_isEnded)
        return;
    m_isEnded = true;
    m_disconnectHandler = nullptr;
    resume();
}

void http_exchange::setDisconnectHandler(std::function<void()> handler)
{
    {
        mutex_lock lock(m_mutex);
        if (!m_isEnded) {
            if (!m_isAnswered)
                m_disconnectHandler = std::move(handler);
            return;
        }
    }
    handler();
}

void http_exchange::didDisconnect()
{
    std::function<void()> handler;
    {
        mutex_lock lock(m_mutex);
        if (m_isAnswered || m_isEnded)
            return;
        m_isEnded = true;
        handler = std::move(m_disconnectHandler);
        resume();
    }
    if (handler)
        handler();
}

void http_exchange::didComplete() { didDisconnect(); }

} // namespace merlinpier
