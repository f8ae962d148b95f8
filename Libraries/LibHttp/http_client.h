#pragma once

#include <LibCore/result.h>
#include <LibCore/time.h>
#include <LibHttp/http_message.h>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>

namespace merlinpier {

// Whether a request may travel on a connection that served another before. libcurl repeats a request by itself when
// such a connection turns out closed, so a request that is not idempotent needs a connection of its own.
enum class connection_reuse { Allowed, Forbidden };

// One request to send.
struct http_client_request {
    std::string method { "GET" };
    // "http://10.0.0.1:8080/path?query"; only IP numbers.
    std::string url;
    std::vector<http_field> headers;
    std::string body;
    milliseconds timeout { 5000 };
    milliseconds connectTimeout { 1000 };
    connection_reuse reuse { connection_reuse::Allowed };
    // A header that the answer repeats. An answer with another value belongs to another request and is passed over;
    // only loop_http_client looks at it.
    std::optional<http_field> echo;
    // A longer answer is cut off and reported as OutcomeUnknown.
    std::size_t maximumBodyBytes { 16 * 1024 * 1024 };
};

// Whether a process takes connections at an address. Unknown: neither was seen in time, or the client cannot tell.
enum class listener_state { Listening, Refusing, Unknown };
using listener_callback = std::function<void(listener_state)>;

using http_exchange_id = std::uint64_t;

// Receives the whole answer; or BadInput if the request cannot be sent as it stands; or Unavailable if no byte of the
// request can have been read by the other side; or ConnectionLost if the connection ended before the answer was whole;
// or OutcomeUnknown if the request may have been acted upon for another reason (timeout included). An answer whose end
// cannot be told from a lost connection counts as OutcomeUnknown.
using http_callback = std::function<void(result<http_response>)>;

// Sends HTTP requests by libcurl on one thread. Callbacks come from that thread and must not block.
class http_client {
public:
    static std::unique_ptr<http_client> create();
    // Ends every exchange under way as cancel() does; must not run in a callback.
    virtual ~http_client() = default;
    virtual http_exchange_id send(http_client_request, http_callback) = 0;
    // Closes the connection of an exchange; its callback gets OutcomeUnknown.
    virtual void cancel(http_exchange_id) = 0;
    // Opens a connection to "IP:PORT" and closes it at once.
    virtual void checkListener(std::string const& address, milliseconds timeout, listener_callback);
};

// Sends one request and waits for its answer; for command-line tools and tests.
result<http_response> sendAndWait(http_client&, http_client_request);

} // namespace merlinpier
