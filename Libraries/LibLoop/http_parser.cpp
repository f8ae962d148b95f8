#include <LibLoop/http_parser.h>

#include <utility> // Beast 1.74 uses std::exchange without including it

#include <LibLoop/http_framing.h>
#include <absl/strings/match.h>
#include <boost/asio/buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/status.hpp>
#include <boost/beast/http/string_body.hpp>

namespace merlinpier {

namespace {

namespace http = boost::beast::http;

constexpr std::size_t maximumResponseHeaderBytes = 64 * 1024;
// Interim answers that are passed over before the final one.
constexpr int maximumInterimAnswers = 8;
constexpr unsigned firstVersionWithInterimAnswers = 11;
// What may wait unparsed, such as the rest of a header or of a chunk's extension.
constexpr std::size_t maximumUnparsedBytes = 64 * 1024;
constexpr std::string_view shortestLastChunk = "0\r\n\r\n";
constexpr int statusBadRequest = 400;
constexpr int statusContentTooLarge = 413;
constexpr int statusHeadersTooLarge = 431;
constexpr int firstStatus = 100;
constexpr int statusSwitchingProtocols = 101;
constexpr int firstFinalStatus = 200;
constexpr int lastStatus = 599;
constexpr int statusNoContent = 204;
constexpr int statusNotModified = 304;

std::string text(boost::beast::string_view view) { return { view.data(), view.size() }; }

template <typename Fields> std::vector<http_field> headersOf(Fields const& fields)
{
    std::vector<http_field> headers;
    for (auto const& field : fields)
        headers.push_back({ text(field.name_string()), text(field.value()) });
    return headers;
}

// Why a message is refused.
enum class message_fault { Malformed, HeaderTooLarge, BodyTooLarge };

message_fault faultOf(boost::beast::error_code const& failure)
{
    if (failure == http::error::body_limit)
        return message_fault::BodyTooLarge;
    return failure == http::error::header_limit ? message_fault::HeaderTooLarge : message_fault::Malformed;
}

// Checks the header before anything is reserved for the body that it announces.
template <typename Parser> std::optional<message_fault> checkHeader(Parser& parser, std::uint64_t maximumBodyBytes)
{
    auto const& message = parser.get();
    message_framing framing { message.version(), {}, {} };
    for (auto const& field : message) {
        if (field.name() == http::field::transfer_encoding)
            framing.transferCodings.push_back(text(field.value()));
        else if (field.name() == http::field::content_length)
            framing.lengths.push_back(text(field.value()));
    }
    if (!isUnambiguous(framing))
        return message_fault::Malformed;
    if (!parser.is_done() && parser.content_length().value_or(0) > maximumBodyBytes)
        return message_fault::BodyTooLarge;
    return std::nullopt;
}

// Feeds a Beast parser and removes what it took from the input.
template <typename Parser>
std::optional<message_fault> feed(
    Parser& parser, header_lines& lines, std::uint64_t maximumBodyBytes, std::string& input)
{
    std::optional<message_fault> fault;
    std::size_t taken = 0;
    while (!fault && !parser.is_done() && taken < input.size()) {
        bool const isInHeader = !parser.is_header_done();
        // Beast asserts that a last chunk that it has seen a part of is not shorter than this.
        auto const rest = std::string_view(input).substr(taken);
        if (!isInHeader && parser.chunked() && rest.size() < shortestLastChunk.size()
            && shortestLastChunk.starts_with(rest))
            break;
        // The header is checked before the body is read.
        parser.eager(!isInHeader);
        boost::beast::error_code failure;
        std::size_t const count = parser.put(boost::asio::buffer(input.data() + taken, input.size() - taken), failure);
        bool const isHeaderSound = !isInHeader || lines.accept(std::string_view(input).substr(taken, count));
        taken += count;
        if (!isHeaderSound)
            fault = message_fault::Malformed;
        else if (failure && failure != http::error::need_more)
            fault = faultOf(failure);
        else if (isInHeader && parser.is_header_done())
            fault = checkHeader(parser, maximumBodyBytes);
        if (failure || count == 0)
            break;
    }
    input.erase(0, taken);
    // What is left of the header is the beginning of a line, which may wait for its end in vain.
    if (auto pending = lines; !fault && !parser.is_header_done() && !pending.accept(input))
        fault = message_fault::Malformed;
    return fault;
}

// A status that no answer can have (RFC 9110, section 15), or that changes the protocol, which no request asks for.
bool isKnownStatus(int status)
{
    return status >= firstStatus && status <= lastStatus && status != statusSwitchingProtocols;
}

bool hasBody(int status)
{
    return status >= firstFinalStatus && status != statusNoContent && status != statusNotModified;
}

} // namespace

struct http_request_parser::internals {
    http::request_parser<http::string_body> parser;
    header_lines lines;
    std::uint64_t maximumBodyBytes { 0 };
};

http_request_parser::http_request_parser(std::size_t maximumHeaderBytes, std::size_t maximumBodyBytes)
    : m_internals(std::make_unique<internals>())
{
    m_internals->parser.header_limit(static_cast<std::uint32_t>(maximumHeaderBytes));
    m_internals->parser.body_limit(maximumBodyBytes);
    m_internals->maximumBodyBytes = maximumBodyBytes;
}

http_request_parser::~http_request_parser() = default;
http_request_parser::http_request_parser(http_request_parser&&) noexcept = default;
http_request_parser& http_request_parser::operator=(http_request_parser&&) noexcept = default;

parse_state http_request_parser::consume(std::string& input)
{
    auto const fault = feed(m_internals->parser, m_internals->lines, m_internals->maximumBodyBytes, input);
    if (!fault)
        return m_internals->parser.is_done() ? parse_state::Done : parse_state::NeedsMore;
    m_refusalStatus = statusBadRequest;
    if (fault == message_fault::BodyTooLarge)
        m_refusalStatus = statusContentTooLarge;
    if (fault == message_fault::HeaderTooLarge)
        m_refusalStatus = statusHeadersTooLarge;
    return parse_state::Failed;
}

bool http_request_parser::hasHeader() const { return m_internals->parser.is_header_done(); }

std::size_t http_request_parser::bodyBytes() const
{
    auto const& parser = m_internals->parser;
    if (!parser.is_header_done())
        return 0;
    auto const announced = parser.content_length();
    return announced ? static_cast<std::size_t>(*announced) : parser.get().body().size();
}

bool http_request_parser::expectsContinue() const
{
    auto const value = m_internals->parser.get()[http::field::expect];
    return absl::EqualsIgnoreCase(absl::string_view(value.data(), value.size()), "100-continue");
}

bool http_request_parser::takesInterimAnswers() const
{
    return m_internals->parser.get().version() >= firstVersionWithInterimAnswers;
}

bool http_request_parser::keepsAlive() const { return m_internals->parser.keep_alive(); }

http_request http_request_parser::takeRequest()
{
    auto message = m_internals->parser.release();
    http_request request;
    request.method = text(message.method_string());
    request.target = text(message.target());
    auto const question = request.target.find('?');
    request.path = request.target.substr(0, question);
    request.headers = headersOf(message);
    request.body = std::move(message.body());
    if (question == std::string::npos)
        return request;
    std::string_view rest(request.target);
    rest.remove_prefix(question + 1);
    while (!rest.empty()) {
        auto const part = rest.substr(0, rest.find('&'));
        rest.remove_prefix(std::min(rest.size(), part.size() + 1));
        auto const equals = part.find('=');
        auto const name = percentDecode(part.substr(0, equals));
        auto const value = percentDecode(equals == std::string_view::npos ? "" : part.substr(equals + 1));
        if (name && value)
            request.query.push_back({ *name, *value });
    }
    return request;
}

struct http_response_parser::internals {
    std::size_t maximumBodyBytes { 0 };
    bool isAnswerToHead { false };
    int interimAnswers { 0 };
    std::optional<http::response_parser<http::string_body>> parser;
    header_lines lines;

    void restart()
    {
        parser.emplace();
        lines = {};
        parser->header_limit(maximumResponseHeaderBytes);
        parser->body_limit(maximumBodyBytes);
        parser->skip(isAnswerToHead);
    }
};

http_response_parser::http_response_parser(std::size_t maximumBodyBytes, bool isAnswerToHead)
    : m_internals(std::make_unique<internals>())
{
    m_internals->maximumBodyBytes = maximumBodyBytes;
    m_internals->isAnswerToHead = isAnswerToHead;
    m_internals->restart();
}

http_response_parser::~http_response_parser() = default;
http_response_parser::http_response_parser(http_response_parser&&) noexcept = default;
http_response_parser& http_response_parser::operator=(http_response_parser&&) noexcept = default;

parse_state http_response_parser::consume(std::string& input)
{
    while (true) {
        if (feed(*m_internals->parser, m_internals->lines, m_internals->maximumBodyBytes, input))
            return parse_state::Failed;
        bool const hasHeader = m_internals->parser->is_header_done();
        if (hasHeader && !isKnownStatus(m_internals->parser->get().result_int()))
            return parse_state::Failed;
        if (!m_internals->parser->is_done())
            return input.size() > maximumUnparsedBytes ? parse_state::Failed : parse_state::NeedsMore;
        if (m_internals->parser->get().result_int() >= firstFinalStatus)
            return parse_state::Done;
        if (++m_internals->interimAnswers > maximumInterimAnswers)
            return parse_state::Failed;
        m_internals->restart();
    }
}

parse_state http_response_parser::finish()
{
    auto& parser = *m_internals->parser;
    if (!parser.is_header_done())
        return parse_state::Failed;
    boost::beast::error_code failure;
    parser.put_eof(failure);
    return failure || !parser.is_done() ? parse_state::Failed : parse_state::Done;
}

bool http_response_parser::keepsAlive() const
{
    return m_internals->parser->keep_alive() && !m_internals->parser->need_eof();
}

http_response http_response_parser::takeResponse()
{
    auto message = m_internals->parser->release();
    http_response response;
    response.status = static_cast<int>(message.result_int());
    response.headers = headersOf(message);
    response.body = std::move(message.body());
    return response;
}

std::string writeResponseHeader(http_response const& response, after_answer after)
{
    auto const reason = http::obsolete_reason(http::int_to_status(static_cast<unsigned>(response.status)));
    std::string out = "HTTP/1.1 " + std::to_string(response.status) + " " + text(reason) + "\r\n";
    for (auto const& header : response.headers) {
        if (!isConnectionHeader(header.name))
            out += header.name + ": " + header.value + "\r\n";
    }
    if (hasBody(response.status))
        out += "Content-Length: " + std::to_string(response.body.size()) + "\r\n";
    if (after == after_answer::Close)
        out += "Connection: close\r\n";
    out += "\r\n";
    return out;
}

bool sendsBody(http_response const& response, bool isAnswerToHead)
{
    return !isAnswerToHead && hasBody(response.status);
}

std::string writeRequest(std::string const& method, std::string const& target, std::string const& host,
    std::vector<http_field> const& headers, std::string const& body)
{
    std::string out = method + " " + target + " HTTP/1.1\r\n";
    bool hasHost = false;
    for (auto const& header : headers) {
        if (isConnectionHeader(header.name))
            continue;
        hasHost = hasHost || absl::EqualsIgnoreCase(header.name, "host");
        out += header.name + ": " + header.value + "\r\n";
    }
    if (!hasHost)
        out += "Host: " + host + "\r\n";
    if (!body.empty() || (method != "GET" && method != "HEAD" && method != "DELETE"))
        out += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    return out + "\r\n" + body;
}

} // namespace merlinpier
