#include <LibLoop/loop_http_server.h>

#include <LibCore/log.h>
#include <LibCore/process_memory.h>
#include <LibLoop/byte_stream.h>
#include <LibLoop/http_parser.h>
#include <algorithm>
#include <deque>
#include <optional>
#include <utility>

namespace merlinpier {

namespace {

// How often connections are looked over for timeouts.
constexpr milliseconds sweepPeriod { 200 };
// Requests that are read from a connection before the first of them is answered.
constexpr std::size_t maximumPipelinedRequests = 64;
// A client discards it if it has asked for none (RFC 9110, section 15.2.1).
constexpr char const* interimAnswer = "HTTP/1.1 100 Continue\r\n\r\n";
// Within this time the system of a client that has closed its connection answers with a reset to what is sent to it.
constexpr milliseconds resetTime { 50 };
// How long a connection is read after its last answer has been written. Closing with unread bytes would reset it, and
// the other side might lose the answer.
constexpr milliseconds lingerTime { 1000 };
constexpr int statusRequestTimeout = 408;
constexpr int statusContentTooLarge = 413;
constexpr int statusUnavailable = 503;
// Bodies that are held are given up or answered within about this time.
constexpr char const* secondsUntilBodiesFit = "1";
// A connection with neither a request nor an answer for this long may be closed to make room for another. Clients that
// mean to send something do so soon after they have connected.
constexpr milliseconds shortestIdle { 1000 };
constexpr milliseconds shortestIdleUnused { 200 };
// Connections closed at a time when the process has no descriptors left.
constexpr int closedInShortage = 16;
constexpr milliseconds shortageLogPeriod { 1000 };

} // namespace

// One request on a connection, from the end of its last byte to its answer.
class loop_http_server::exchange final : public http_responder {
public:
    // What the answer depends on, besides the handler.
    struct traits {
        bool isHead { false };
        bool keepsAlive { false };
        bool takesInterimAnswers { false };
    };

    exchange(std::weak_ptr<session> owner, traits request, byte_budget::part body)
        : m_session(std::move(owner))
        , m_traits(request)
        , m_body(std::move(body))
    {
    }

    void respond(http_response) override;
    void closeWithoutAnswer() override;
    void setDisconnectHandler(std::function<void()>) override;

    void didDisconnect();
    traits const& requestTraits() const { return m_traits; }
    std::optional<http_response>& response() { return m_response; }

private:
    std::weak_ptr<session> m_session;
    traits const m_traits;
    // Held for the request's body as long as the handler may use it.
    byte_budget::part m_body;
    bool m_isAnswered { false };
    bool m_isDisconnected { false };
    std::optional<http_response> m_response;
    std::function<void()> m_disconnectHandler;
};

class loop_http_server::session final : public byte_stream_listener, public std::enable_shared_from_this<session> {
public:
    session(loop_http_server& owner, accepted_socket accepted)
        : m_owner(owner)
        , m_stream(owner.m_loop, std::move(accepted), *this)
        , m_body(owner.m_bodyBudget)
        , m_lastActivity(currentTime())
    {
        // The idle timeout bounds how long a client may take nothing of its answer.
        m_stream.waitForStalledPeer();
    }

    // Sends every answer that is due next.
    void sendAnswers()
    {
        while (!m_isClosing && !m_exchanges.empty() && m_exchanges.front()->response()) {
            auto const answered = std::move(m_exchanges.front());
            m_exchanges.pop_front();
            bool const isLast = m_exchanges.empty() && (m_owner.m_isLeaving || m_isRefusing);
            bool const closes = !answered->requestTraits().keepsAlive || isLast;
            auto& response = *answered->response();
            m_stream.send(writeResponseHeader(response, closes ? after_answer::Close : after_answer::KeepOpen));
            if (sendsBody(response, answered->requestTraits().isHead))
                m_stream.send(std::move(response.body));
            m_lastActivity = currentTime();
            if (closes)
                close();
        }
        // Answers make room for requests that are buffered or still to be read.
        if (!m_isClosing && !m_isParsing)
            parse();
    }

    // Ends the connection at once, without any answer.
    void abort()
    {
        m_isClosing = true;
        abandonExchanges();
        m_owner.remove(*this);
    }

    void sweep(time_point now)
    {
        noteWrittenBytes(now);
        if (m_isClosing) {
            auto const limit = m_stream.unsentBytes() > 0 ? m_owner.m_limits.idleTimeout : lingerTime;
            if (now - std::max(m_closedAt, m_lastActivity) >= limit)
                m_owner.remove(*this);
            return;
        }
        bool const isReadingHeader = m_parser && !m_parser->hasHeader();
        if (isReadingHeader && now - m_requestBegan >= m_owner.m_limits.headerTimeout)
            refuse(statusRequestTimeout);
        else if (m_parser && now - m_lastActivity >= m_owner.m_limits.idleTimeout)
            refuse(statusRequestTimeout);
        else if (!m_parser && m_exchanges.empty() && now - m_lastActivity >= m_owner.m_limits.idleTimeout) {
            // A client that takes nothing of its answer is given up.
            if (m_stream.unsentBytes() > 0)
                abort();
            else
                close();
        }
    }

    // Reads no further request if answers are due: the last of them closes the connection, which says that nothing
    // behind it was read (RFC 9112, section 9.6). Otherwise a client that always has a request outstanding would be
    // served until the process ends and cuts what runs then.
    void stopReadingRequests()
    {
        if (!m_exchanges.empty() && !m_isClosing)
            dropPartialRequest();
    }

    // Closes the connection if nothing is due on it, or as soon as its last answer has been sent.
    void closeWhenIdle()
    {
        if (!m_isClosing && m_exchanges.empty() && !m_parser)
            close();
    }

    // Whether the connection may be closed for another one. A request that has arrived and waits for its turn to be
    // read keeps it open.
    bool isDispensable(time_point now) const
    {
        bool const isIdle = m_exchanges.empty() && !m_parser && m_stream.unsentBytes() == 0;
        return isIdle && now - m_lastActivity >= (m_wasUsed ? shortestIdle : shortestIdleUnused)
            && !m_stream.hasUnreadBytes();
    }
    // Of two such connections, the lower one is closed: the one that has brought no request, or that was used last
    // longer ago.
    std::pair<bool, time_point> lastUse() const { return { m_wasUsed, m_lastActivity }; }

    unfinished_work unfinishedWork() const
    {
        bool const isReading = m_parser.has_value() && !m_isClosing;
        unfinished_work work { 0, m_exchanges.size() + (isReading ? 1 : 0), m_stream.unsentBytes() };
        work.connections = work == unfinished_work {} ? 0 : 1;
        return work;
    }

private:
    void didConnect() override { }

    void didReceiveBytes(std::string_view bytes) override
    {
        // What arrives after the last answer belongs to no request here.
        if (m_isClosing || m_isRefusing)
            return;
        m_lastActivity = currentTime();
        m_input.append(bytes);
        parse();
    }

    // A client that has closed its connection and one that only sends no more look alike until something is sent: the
    // system of the former then answers with a reset, and didFail() follows within a round trip.
    void didReachEnd() override
    {
        bool const isAwaited = !m_exchanges.empty() || m_stream.unsentBytes() > 0;
        if (!isAwaited || !tryProbe()) {
            abort();
            return;
        }
        m_isProbed = true;
        if (!m_held.empty())
            m_holdTimer = m_owner.m_loop.subscribeOnce(resetTime, [this] { handOnHeld(); });
        // While reading is paused, further requests may have arrived before the end.
        if (m_exchanges.size() >= maximumPipelinedRequests)
            return;
        dropPartialRequest();
        if (m_exchanges.empty() && !m_isClosing)
            close();
    }

    void didFail(error) override { abort(); }

    // Has something sent to the client: what waits of an answer, or else an interim answer. Returns false if the client
    // takes none.
    bool tryProbe()
    {
        if (m_stream.unsentBytes() > 0)
            return true;
        if (!m_exchanges.front()->requestTraits().takesInterimAnswers)
            return false;
        m_stream.send(interimAnswer);
        return true;
    }

    // Reads no further request. What has arrived of one is dropped.
    void dropPartialRequest()
    {
        m_isRefusing = true;
        m_parser.reset();
        m_body = freeBody();
        m_input.clear();
    }

    // The client takes its answer: the connection is not idle.
    void noteWrittenBytes(time_point now)
    {
        if (m_stream.writtenBytes() == m_writtenBytes)
            return;
        m_writtenBytes = m_stream.writtenBytes();
        m_lastActivity = now;
    }

    void parse()
    {
        m_isParsing = true;
        auto const self = shared_from_this();
        while (!m_input.empty() && !m_isClosing && !m_isRefusing && m_exchanges.size() < maximumPipelinedRequests) {
            if (!m_parser) {
                // Empty lines before a request are passed over (RFC 9112, section 2.2).
                auto const begin = m_input.find_first_not_of("\r\n");
                m_input.erase(0, begin == std::string::npos ? m_input.size() : begin);
                if (m_input.empty())
                    break;
                m_parser.emplace(m_owner.m_limits.maximumHeaderBytes, m_owner.m_limits.maximumBodyBytes);
                m_requestBegan = currentTime();
            }
            auto const state = m_parser->consume(m_input);
            auto const fit
                = state == parse_state::Failed ? byte_budget::verdict::Fits : m_body.grow(m_parser->bodyBytes());
            if (state == parse_state::Failed)
                refuse(m_parser->refusalStatus());
            else if (fit != byte_budget::verdict::Fits)
                refuse(fit == byte_budget::verdict::NeverFits ? statusContentTooLarge : statusUnavailable);
            else if (state == parse_state::Done)
                dispatch();
            else
                break;
        }
        if (m_parser && m_parser->hasHeader() && m_parser->expectsContinue() && !m_hasSentContinue) {
            m_hasSentContinue = true;
            m_stream.send(interimAnswer);
        }
        m_isParsing = false;
        releaseIfEmpty(m_input);
        if (!m_isClosing && m_exchanges.size() >= maximumPipelinedRequests)
            m_stream.pauseReading();
        else if (!m_isClosing)
            m_stream.resumeReading();
    }

    void dispatch()
    {
        exchange::traits traits { false, m_parser->keepsAlive(), m_parser->takesInterimAnswers() };
        auto request = m_parser->takeRequest();
        traits.isHead = request.method == "HEAD";
        m_parser.reset();
        m_hasSentContinue = false;
        m_wasUsed = true;
        auto const created = std::make_shared<exchange>(weak_from_this(), traits, std::exchange(m_body, freeBody()));
        m_exchanges.push_back(created);
        // Nothing after a request that closes the connection is read.
        m_isRefusing = !traits.keepsAlive || m_owner.m_isLeaving;
        // A daemon that is late reads requests of clients that gave up long ago, each with the end behind it.
        if (m_stream.isEndKnown() && !m_isProbed)
            m_held.emplace_back(std::move(request), created);
        else
            m_owner.m_handler.didReceiveRequest(std::move(request), created);
    }

    // Hands on the requests that were read together with the client's end, unless it has turned out to have left.
    void handOnHeld()
    {
        auto const self = shared_from_this();
        if (m_stream.isBroken()) {
            abort();
            return;
        }
        for (auto& [request, responder] : std::exchange(m_held, {}))
            m_owner.m_handler.didReceiveRequest(std::move(request), responder);
    }

    byte_budget::part freeBody() const { return byte_budget::part(m_owner.m_bodyBudget); }

    // Answers what can be no request after everything before it, and closes.
    void refuse(int status)
    {
        logWarning("request_malformed",
            { { "from", m_stream.peer().text() }, { "status", status }, { "pending", m_exchanges.size() },
                { "held_body_bytes", m_owner.heldBodyBytes() } });
        dropPartialRequest();
        auto const created = std::make_shared<exchange>(weak_from_this(), exchange::traits {}, freeBody());
        m_exchanges.push_back(created);
        std::vector<http_field> headers;
        if (status == statusUnavailable)
            headers.push_back({ "Retry-After", secondsUntilBodiesFit });
        created->respond({ status, std::move(headers), "" });
    }

    void close()
    {
        m_isClosing = true;
        m_closedAt = currentTime();
        m_input.clear();
        m_stream.finishWriting();
        m_stream.resumeReading();
        abandonExchanges();
    }

    void abandonExchanges()
    {
        m_held.clear();
        m_holdTimer.cancel();
        for (auto const& abandoned : std::exchange(m_exchanges, {}))
            abandoned->didDisconnect();
    }

    loop_http_server& m_owner;
    byte_stream m_stream;
    // Held for the body of the request that is being read.
    byte_budget::part m_body;
    std::string m_input;
    std::optional<http_request_parser> m_parser;
    std::deque<std::shared_ptr<exchange>> m_exchanges;
    // Requests that are not handed on until it shows whether their client still reads.
    std::vector<std::pair<http_request, std::shared_ptr<exchange>>> m_held;
    timer_subscription m_holdTimer;
    // Something has been sent to the client since it sends no more.
    bool m_isProbed { false };
    time_point m_requestBegan;
    time_point m_lastActivity;
    time_point m_closedAt;
    // Bytes written to the socket when the connection was last looked over.
    std::uint64_t m_writtenBytes { 0 };
    bool m_hasSentContinue { false };
    // Whether the connection has brought a request.
    bool m_wasUsed { false };
    // No further request is read from the connection.
    bool m_isRefusing { false };
    bool m_isClosing { false };
    bool m_isParsing { false };
};

void loop_http_server::exchange::respond(http_response response)
{
    if (m_isAnswered || m_isDisconnected)
        return;
    m_isAnswered = true;
    m_disconnectHandler = nullptr;
    m_response = std::move(response);
    if (auto const owner = m_session.lock())
        owner->sendAnswers();
}

void loop_http_server::exchange::closeWithoutAnswer()
{
    if (auto const owner = m_session.lock())
        owner->abort();
}

void loop_http_server::exchange::setDisconnectHandler(std::function<void()> handler)
{
    if (m_isDisconnected)
        handler();
    else if (!m_isAnswered)
        m_disconnectHandler = std::move(handler);
}

void loop_http_server::exchange::didDisconnect()
{
    m_isDisconnected = true;
    if (auto const handler = std::exchange(m_disconnectHandler, nullptr))
        handler();
}

result<std::unique_ptr<loop_http_server>> loop_http_server::tryCreate(
    event_loop& loop, endpoint const& address, http_limits limits, http_handler& handler)
{
    std::unique_ptr<loop_http_server> server(new loop_http_server(loop, limits, handler));
    server->m_acceptor = TRY(stream_acceptor::tryCreate(
        loop, address, [raw = server.get()](accepted_socket accepted) { raw->accept(std::move(accepted)); }));
    server->m_acceptor->setShortageHandler([raw = server.get()] {
        for (int i = 0; i < closedInShortage && raw->closeOneIdle(); ++i)
            raw->didRunShort(connection_shortage::IdleClosed);
    });
    return server;
}

loop_http_server::loop_http_server(event_loop& loop, http_limits limits, http_handler& handler)
    : m_loop(loop)
    , m_limits(limits)
    , m_handler(handler)
    , m_sweepTimer(loop.subscribe(sweepPeriod, [this] { sweep(); }))
{
    setLimits(limits);
}

loop_http_server::~loop_http_server() { stop(); }

void loop_http_server::setLimits(http_limits const& limits)
{
    m_limits = limits;
    m_bodyBudget->setMaximum(limits.maximumHeldBodyBytes);
}

void loop_http_server::startLeaving()
{
    m_isLeaving = true;
    for (auto const& [raw, session] : m_sessions)
        session->stopReadingRequests();
}

void loop_http_server::stopAccepting()
{
    m_acceptor.reset();
    auto const sessions = m_sessions;
    for (auto const& [raw, session] : sessions)
        session->closeWhenIdle();
}

unfinished_work loop_http_server::unfinishedWork() const
{
    unfinished_work sum;
    for (auto const& [raw, session] : m_sessions) {
        auto const work = session->unfinishedWork();
        sum.connections += work.connections;
        sum.requests += work.requests;
        sum.unsentBytes += work.unsentBytes;
    }
    return sum;
}

void loop_http_server::accept(accepted_socket accepted)
{
    if (m_sessions.size() >= m_limits.maximumConnections) {
        bool const hasRoom = closeOneIdle();
        didRunShort(hasRoom ? connection_shortage::IdleClosed : connection_shortage::NewRefused);
        if (!hasRoom)
            return;
    }
    auto const created = std::make_shared<session>(*this, std::move(accepted));
    m_sessions.emplace(created.get(), created);
}

bool loop_http_server::closeOneIdle()
{
    auto const now = currentTime();
    auto chosen = m_sessions.end();
    for (auto found = m_sessions.begin(); found != m_sessions.end(); ++found) {
        bool const isLower = chosen == m_sessions.end() || found->second->lastUse() < chosen->second->lastUse();
        if (isLower && found->second->isDispensable(now))
            chosen = found;
    }
    if (chosen == m_sessions.end())
        return false;
    // Not by remove(), which keeps the descriptor until the end of the turn. No callback of the session is running.
    m_sessions.erase(chosen);
    return true;
}

void loop_http_server::didRunShort(connection_shortage shortage)
{
    if (m_didRunShort)
        m_didRunShort(shortage);
    if (currentTime() < m_nextShortageLog)
        return;
    m_nextShortageLog = currentTime() + shortageLogPeriod;
    logWarning("connections_short",
        { { "open", m_sessions.size() }, { "most", m_limits.maximumConnections },
            { "new_refused", shortage == connection_shortage::NewRefused ? "yes" : "no" } });
}

void loop_http_server::remove(session& ended)
{
    auto const found = m_sessions.find(&ended);
    if (found == m_sessions.end())
        return;
    // The session's own callback may be running.
    m_loop.post([kept = std::move(found->second)] {});
    m_sessions.erase(found);
}

void loop_http_server::sweep()
{
    auto const now = currentTime();
    std::vector<std::shared_ptr<session>> sessions;
    for (auto const& [raw, session] : m_sessions)
        sessions.push_back(session);
    for (auto const& session : sessions)
        session->sweep(now);
}

void loop_http_server::stop()
{
    m_sweepTimer.cancel();
    m_acceptor.reset();
    m_sessions.clear();
}

} // namespace merlinpier
