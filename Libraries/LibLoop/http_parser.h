#pragma once

#include <LibCore/error.h>
#include <LibHttp/http_message.h>
#include <cstddef>
#include <memory>
#include <optional>
#include <string>

namespace merlinpier {

// What a parser makes of the bytes so far.
enum class parse_state { NeedsMore, Done, Failed };

// Reads HTTP/1.1 requests, one after another, from a buffer of received bytes.
class http_request_parser {
public:
    http_request_parser(std::size_t maximumHeaderBytes, std::size_t maximumBodyBytes);
    ~http_request_parser();
    http_request_parser(http_request_parser&&) noexcept;
    http_request_parser& operator=(http_request_parser&&) noexcept;

    // Takes what belongs to this request off the front of the input.
    parse_state consume(std::string& input);
    bool hasHeader() const;
    // The bytes of the body: as many as are announced, or have arrived of a body without a length. 0 before
    // hasHeader().
    std::size_t bodyBytes() const;
    // Whether the other side waits for leave to send the body (RFC 9110, section 10.1.1).
    bool expectsContinue() const;
    // Whether interim answers may be sent: not to a client of HTTP/1.0 (RFC 9110, section 15.2).
    bool takesInterimAnswers() const;
    bool keepsAlive() const;
    // After Failed: the status to refuse the request with.
    int refusalStatus() const { return m_refusalStatus; }
    // After Done.
    http_request takeRequest();

private:
    struct internals;
    std::unique_ptr<internals> m_internals;
    int m_refusalStatus { 400 };
};

// Reads one HTTP/1.1 answer from a buffer of received bytes. A few interim answers (1xx) are passed over.
class http_response_parser {
public:
    // An answer to HEAD has no body whatever its headers say.
    http_response_parser(std::size_t maximumBodyBytes, bool isAnswerToHead);
    ~http_response_parser();
    http_response_parser(http_response_parser&&) noexcept;
    http_response_parser& operator=(http_response_parser&&) noexcept;

    parse_state consume(std::string& input);
    // The connection was closed in order: that completes an answer without a length.
    parse_state finish();
    bool keepsAlive() const;
    http_response takeResponse();

private:
    struct internals;
    std::unique_ptr<internals> m_internals;
};

// Writes the header of an answer, with its length. The connection header says whether the connection ends after it.
enum class after_answer { KeepOpen, Close };
std::string writeResponseHeader(http_response const&, after_answer);
// Whether the body of the answer is sent after its header.
bool sendsBody(http_response const&, bool isAnswerToHead);

// Writes a request with its length; "Host" is added unless it is among the headers.
std::string writeRequest(std::string const& method, std::string const& target, std::string const& host,
    std::vector<http_field> const& headers, std::string const& body);

} // namespace merlinpier
