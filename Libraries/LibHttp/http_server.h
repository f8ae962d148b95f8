#pragma once

#include <LibCore/result.h>
#include <LibCore/time.h>
#include <LibHttp/http_message.h>
#include <cstdint>
#include <functional>
#include <memory>

namespace merlinpier {

// Takes the answer to one request. Any thread may answer; the first answer counts.
class http_responder {
public:
    virtual ~http_responder() = default;
    virtual void respond(http_response) = 0;
    // Closes the connection without any answer, as a process that dies does.
    virtual void closeWithoutAnswer() = 0;
    // Calls back when the connection ends before the answer was given; at once if it has ended already.
    virtual void setDisconnectHandler(std::function<void()>) = 0;
};

// Receives the requests of a server. Called from the server's threads; must not block for long.
class http_handler {
public:
    virtual ~http_handler() = default;
    virtual void didReceiveRequest(http_request, std::shared_ptr<http_responder>) = 0;
};

struct http_server_settings {
    std::string address { "127.0.0.1" };
    // 0 takes a free port.
    std::uint16_t port { 0 };
    unsigned threads { 2 };
    unsigned maximumConnections { 1024 };
    std::size_t maximumBodyBytes { 1024 * 1024 };
    // An idle connection is closed after this many seconds; 0 never closes it.
    unsigned idleTimeoutSeconds { 120 };
};

// An HTTP/1.1 server over libmicrohttpd. A request waits without a thread until its responder answers.
class http_server {
public:
    // Listens at once; the handler must outlive the server. Unavailable if the port is taken.
    static result<std::unique_ptr<http_server>> tryCreate(http_server_settings, http_handler&);
    virtual ~http_server() = default;
    virtual std::uint16_t port() const = 0;
    // Answers 503 to what still waits and ends the threads.
    virtual void stop() = 0;
};

} // namespace merlinpier
