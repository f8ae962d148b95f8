#include <LibLoop/loop_http_client.h>

#include <LibCore/digest.h>
#include <LibCore/process_memory.h>
#include <LibLoop/byte_stream.h>
#include <LibLoop/http_parser.h>
#include <absl/strings/numbers.h>
#include <algorithm>
#include <deque>
#include <iterator>
#include <optional>
#include <utility>

namespace merlinpier {

namespace {

// Answers that belong to other requests and are passed over on one connection before it is given up.
constexpr int maximumStrayAnswers = 4;
// Requests of which a connection remembers that it has carried them. A request is tried again within a second or two.
constexpr std::size_t rememberedRequests = 64;
constexpr std::string_view scheme = "http://";

struct parsed_url {
    endpoint address;
    std::string target;
};

result<parsed_url> parseUrl(std::string const& url)
{
    if (!url.starts_with(scheme))
        return error { error_kind::BadInput, "\"" + url + "\" is no http URL", "use http://IP:PORT/path" };
    auto const slash = url.find('/', scheme.size());
    auto const host = url.substr(scheme.size(), slash == std::string::npos ? slash : slash - scheme.size());
    auto address = TRY(parseEndpoint(host));
    return parsed_url { std::move(address), slash == std::string::npos ? "/" : url.substr(slash) };
}

// The time for which the other side promises to keep an idle connection ("timeout=5" of Keep-Alive).
std::optional<milliseconds> promisedIdle(http_response const& response)
{
    auto const value = response.header("Keep-Alive");
    if (!value)
        return std::nullopt;
    constexpr std::string_view key = "timeout=";
    auto const found = value->find(key);
    if (found == std::string::npos)
        return std::nullopt;
    auto const digits = value->substr(found + key.size(), value->find(',', found) - found - key.size());
    int seconds = 0;
    if (!absl::SimpleAtoi(digits, &seconds))
        return std::nullopt;
    return milliseconds(seconds * 1000);
}

error cancelled() { return { error_kind::OutcomeUnknown, "the exchange was cancelled", "" }; }

} // namespace

class loop_http_client::connection final : public byte_stream_listener {
public:
    connection(loop_http_client& owner, endpoint const& to)
        : m_owner(owner)
        , m_address(to.text())
        , m_stream(std::make_unique<byte_stream>(owner.m_loop, to, owner.m_settings.localAddress, *this))
    {
    }

    void start(http_exchange_id id, http_client_request request, std::string const& target, http_callback callback)
    {
        m_id = id;
        m_isHead = request.method == "HEAD";
        m_maximumBodyBytes = request.maximumBodyBytes;
        m_isUsedAgain = m_stream->isConnected();
        m_echo = std::move(request.echo);
        if (m_echo)
            remember(*m_echo);
        m_callback = std::move(callback);
        m_parser.emplace(m_maximumBodyBytes, m_isHead);
        m_strayAnswers = 0;
        m_bytes = writeRequest(request.method, target, m_address, request.headers, request.body);
        auto& loop = m_owner.m_loop;
        m_timeout = loop.subscribeOnce(request.timeout, [this] { fail("no answer in time"); });
        if (m_stream->isConnected()) {
            sendRequest();
            return;
        }
        m_connectTimeout = loop.subscribeOnce(request.connectTimeout, [this] { fail("no connection in time"); });
    }

    void abandon()
    {
        if (m_id != 0)
            m_owner.finish(*this, cancelled());
    }

    // Whether a request with this id was sent on the connection lately. A second answer to it, which arrives late,
    // could not be told from the answer to the request's next try.
    bool hasCarried(http_field const& echo) const
    {
        return std::find(m_carried.begin(), m_carried.end(), hash64(echo.value)) != m_carried.end();
    }

    http_exchange_id id() const { return m_id; }
    std::string const& address() const { return m_address; }
    bool isUsable(time_point now) const { return m_stream && now < m_usableUntil; }

    // Whatever arrives from now on belongs to no exchange.
    void stopListening() { m_id = 0; }
    // Ends the exchange and hands out its callback; the connection is closed unless it may be used again.
    http_callback endExchange()
    {
        m_id = 0;
        m_parser.reset();
        m_bufferedBytes = 0;
        m_timeout.cancel();
        m_connectTimeout.cancel();
        if (!m_isReusable)
            m_stream.reset();
        return std::exchange(m_callback, nullptr);
    }
    bool isReusable() const { return m_isReusable; }
    // Bytes of the answer that have arrived.
    std::size_t bufferedBytes() const { return m_bufferedBytes; }
    void giveUpLongAnswer() { fail("too many bytes of unfinished answers are buffered"); }

private:
    void didConnect() override
    {
        m_connectTimeout.cancel();
        if (m_id != 0)
            sendRequest();
    }

    void sendRequest()
    {
        m_isSent = true;
        m_isReusable = false;
        m_stream->send(std::exchange(m_bytes, {}));
    }

    void didReceiveBytes(std::string_view bytes) override
    {
        if (m_id == 0) {
            // Bytes that nobody asked for: what follows on this connection cannot be trusted.
            m_isReusable = false;
            m_owner.forget(*this);
            return;
        }
        m_input.append(bytes);
        m_bufferedBytes += bytes.size();
        m_owner.didBuffer(bytes.size());
        while (m_id != 0) {
            auto const state = m_parser->consume(m_input);
            releaseIfEmpty(m_input);
            if (state == parse_state::NeedsMore)
                return;
            if (state == parse_state::Failed) {
                fail("the answer is malformed or too large");
                return;
            }
            didParseAnswer();
        }
    }

    void didReachEnd() override
    {
        if (m_id == 0) {
            m_isReusable = false;
            m_owner.forget(*this);
            return;
        }
        if (m_parser->finish() == parse_state::Done)
            didParseAnswer();
        if (m_id != 0)
            fail("the connection was closed before the answer was whole", error_kind::ConnectionLost);
    }

    void didFail(error reason) override
    {
        if (m_id != 0) {
            fail(reason.message, error_kind::ConnectionLost);
            return;
        }
        m_isReusable = false;
        m_owner.forget(*this);
    }

    void remember(http_field const& echo)
    {
        m_carried.push_back(hash64(echo.value));
        if (m_carried.size() > rememberedRequests)
            m_carried.pop_front();
    }

    void didParseAnswer()
    {
        bool const keepsAlive = m_parser->keepsAlive();
        auto response = m_parser->takeResponse();
        // The header names the request that the answer belongs to.
        auto const echoed = m_echo ? response.header(m_echo->name) : std::nullopt;
        if (echoed && *echoed != m_echo->value) {
            m_parser.emplace(m_maximumBodyBytes, m_isHead);
            if (++m_strayAnswers > maximumStrayAnswers || !keepsAlive)
                fail("the connection carried answers to other requests only");
            return;
        }
        // On a connection that was used before, an answer without an id may be a late one to an earlier request.
        if (m_echo && !echoed && m_isUsedAgain) {
            fail("an answer on a used connection does not name its request");
            return;
        }
        // An answer that came before the whole request was written leaves the rest of the request on the connection.
        m_isReusable = keepsAlive && m_input.empty() && m_stream->unsentBytes() == 0;
        auto const& settings = m_owner.m_settings;
        auto idle = settings.longestIdle;
        if (auto const promised = promisedIdle(response))
            idle = std::min(idle, *promised - settings.keepAliveMargin);
        m_usableUntil = currentTime() + idle;
        m_owner.finish(*this, std::move(response));
    }

    void fail(std::string const& what, error_kind kindIfSent = error_kind::OutcomeUnknown)
    {
        auto const kind = m_isSent ? kindIfSent : error_kind::Unavailable;
        m_isReusable = false;
        m_owner.finish(
            *this, error { kind, what + " (" + m_address + ")", "check the process at that address; see its logs" });
    }

    loop_http_client& m_owner;
    std::string m_address;
    std::unique_ptr<byte_stream> m_stream;
    std::string m_input;
    std::optional<http_response_parser> m_parser;
    http_exchange_id m_id { 0 };
    http_callback m_callback;
    std::optional<http_field> m_echo;
    // Digests of the ids of the requests that the connection has carried, oldest first.
    std::deque<std::uint64_t> m_carried;
    bool m_isUsedAgain { false };
    std::string m_bytes;
    std::size_t m_maximumBodyBytes { 0 };
    timer_subscription m_timeout;
    timer_subscription m_connectTimeout;
    time_point m_usableUntil;
    int m_strayAnswers { 0 };
    bool m_isHead { false };
    bool m_isSent { false };
    bool m_isReusable { false };
    std::size_t m_bufferedBytes { 0 };
};

class loop_http_client::listener_check final : public byte_stream_listener {
public:
    listener_check(loop_http_client& owner, endpoint const& address, milliseconds timeout, listener_callback callback)
        : m_owner(owner)
        , m_callback(std::move(callback))
        , m_stream(std::make_unique<byte_stream>(owner.m_loop, address, owner.m_settings.localAddress, *this))
        , m_timeout(owner.m_loop.subscribeOnce(timeout, [this] { finish(listener_state::Unknown); }))
    {
    }

    void report(listener_state state) const { m_callback(state); }

private:
    void didConnect() override { finish(listener_state::Listening); }
    void didReceiveBytes(std::string_view) override { }
    void didReachEnd() override { }
    void didFail(error reason) override
    {
        finish(reason.kind == error_kind::Refused ? listener_state::Refusing : listener_state::Unknown);
    }

    void finish(listener_state state) { m_owner.finishCheck(*this, state); }

    loop_http_client& m_owner;
    listener_callback m_callback;
    std::unique_ptr<byte_stream> m_stream;
    timer_subscription m_timeout;
};

loop_http_client::loop_http_client(event_loop& loop, loop_http_client_settings settings)
    : m_loop(loop)
    , m_settings(std::move(settings))
    , m_isAlive(std::make_shared<bool>(true))
{
}

loop_http_client::~loop_http_client()
{
    m_isAlive.reset();
    m_checks.clear();
    for (auto const& [id, used] : std::exchange(m_active, {})) {
        if (auto const callback = used->endExchange())
            callback(cancelled());
    }
}

http_exchange_id loop_http_client::send(http_client_request request, http_callback callback)
{
    auto const id = m_nextId++;
    auto url = parseUrl(request.url);
    if (url.isError()) {
        m_loop.post([failure = url.releaseFailure(), callback = std::move(callback)] { callback(failure); });
        return id;
    }
    std::shared_ptr<connection> used;
    if (request.reuse == connection_reuse::Allowed)
        used = takeIdle(url.value().address.text(), request.echo);
    if (!used) {
        ++m_connectionsOpened;
        used = std::make_shared<connection>(*this, url.value().address);
    }
    m_active[id] = used;
    used->start(id, std::move(request), url.value().target, std::move(callback));
    return id;
}

void loop_http_client::cancel(http_exchange_id id)
{
    auto const found = m_active.find(id);
    if (found == m_active.end())
        return;
    auto const used = found->second;
    used->abandon();
}

void loop_http_client::checkListener(std::string const& address, milliseconds timeout, listener_callback callback)
{
    auto const parsed = parseEndpoint(address);
    if (parsed.isError()) {
        m_loop.post([callback = std::move(callback)] { callback(listener_state::Unknown); });
        return;
    }
    auto check = std::make_shared<listener_check>(*this, parsed.value(), timeout, std::move(callback));
    m_checks[check.get()] = check;
}

void loop_http_client::finishCheck(listener_check& ended, listener_state state)
{
    auto const found = m_checks.find(&ended);
    if (found == m_checks.end())
        return;
    // One of the check's own callbacks is running.
    m_loop.post([check = found->second, state, alive = std::weak_ptr(m_isAlive)] {
        if (alive.lock())
            check->report(state);
    });
    m_checks.erase(found);
}

void loop_http_client::didBuffer(std::size_t bytes)
{
    m_bufferedBytes += bytes;
    if (m_bufferedBytes <= m_settings.maximumBufferedBytes)
        return;
    auto const longest = std::max_element(m_active.begin(), m_active.end(), [](auto const& first, auto const& second) {
        return first.second->bufferedBytes() < second.second->bufferedBytes();
    });
    auto const given = longest->second;
    given->giveUpLongAnswer();
}

std::shared_ptr<loop_http_client::connection> loop_http_client::takeIdle(
    std::string const& address, std::optional<http_field> const& echo)
{
    auto& idle = m_idle[address];
    auto const now = currentTime();
    std::erase_if(idle, [&](auto const& kept) { return !kept->isUsable(now); });
    auto const found
        = std::find_if(idle.rbegin(), idle.rend(), [&](auto const& kept) { return !echo || !kept->hasCarried(*echo); });
    if (found == idle.rend())
        return nullptr;
    auto used = *found;
    idle.erase(std::next(found).base());
    return used;
}

void loop_http_client::keep(std::shared_ptr<connection> kept)
{
    auto& idle = m_idle[kept->address()];
    if (idle.size() < m_settings.maximumIdleConnections)
        idle.push_back(std::move(kept));
}

void loop_http_client::forget(connection const& ended)
{
    auto& idle = m_idle[ended.address()];
    auto const found = std::find_if(idle.begin(), idle.end(), [&](auto const& kept) { return kept.get() == &ended; });
    if (found == idle.end())
        return;
    // The connection's own callback is running.
    m_loop.post([kept = *found] {});
    idle.erase(found);
}

void loop_http_client::finish(connection& ended, result<http_response> outcome)
{
    auto const found = m_active.find(ended.id());
    if (found == m_active.end())
        return;
    auto const used = found->second;
    m_active.erase(found);
    m_bufferedBytes -= used->bufferedBytes();
    used->stopListening();
    bool const isWhole = !outcome.isError();
    // Closing the stream waits for the posted task, since one of its callbacks may be running.
    auto const carried = std::make_shared<result<http_response>>(std::move(outcome));
    m_loop.post([this, used, isWhole, carried, alive = std::weak_ptr(m_isAlive)] {
        auto const callback = used->endExchange();
        if (!alive.lock())
            return;
        if (isWhole && used->isReusable())
            keep(used);
        if (callback)
            callback(std::move(*carried));
    });
}

} // namespace merlinpier
