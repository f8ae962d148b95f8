#include <LibHttp/curl_transfer.h>

#include <absl/strings/ascii.h>
#include <absl/strings/match.h>
#include <algorithm>
#include <arpa/inet.h>

namespace merlinpier {

namespace {

constexpr std::string_view scheme = "http://";

bool isTokenCharacter(char character)
{
    return absl::ascii_isalnum(static_cast<unsigned char>(character))
        || std::string_view("!#$%&'*+-.^_`|~").find(character) != std::string_view::npos;
}

bool isToken(std::string_view text) { return !text.empty() && std::all_of(text.begin(), text.end(), isTokenCharacter); }

bool isControl(char character)
{
    return absl::ascii_iscntrl(static_cast<unsigned char>(character)) && character != '\t';
}

bool isFieldValue(std::string_view text) { return std::none_of(text.begin(), text.end(), isControl); }

bool isUrlText(std::string_view text)
{
    return std::none_of(text.begin(), text.end(), [](char c) { return isControl(c) || c == ' ' || c == '\t'; });
}

// Returns the host of "http://host:port/..." if it is an IPv4 number with an optional port.
bool hasNumericHost(std::string_view url)
{
    if (url.substr(0, scheme.size()) != scheme)
        return false;
    auto const authority = url.substr(scheme.size(), url.find_first_of("/?#", scheme.size()) - scheme.size());
    std::string const host(authority.substr(0, authority.find(':')));
    in_addr address {};
    return inet_pton(AF_INET, host.c_str(), &address) == 1;
}

bool hasHeader(std::vector<http_field> const& headers, std::string_view name)
{
    return std::any_of(headers.begin(), headers.end(), [name](http_field const& field) {
        return absl::EqualsIgnoreCase(field.name, absl::string_view(name.data(), name.size()));
    });
}

bool methodMayHaveBody(std::string const& method) { return method == "POST" || method == "PUT" || method == "PATCH"; }

} // namespace

result<empty> checkRequest(http_client_request const& request)
{
    if (!isToken(request.method))
        return error { error_kind::BadInput, "\"" + request.method + "\" is no HTTP method", "use GET, POST or such" };
    if (!hasNumericHost(request.url) || !isUrlText(request.url))
        return error { error_kind::BadInput, "\"" + request.url + "\" is no usable URL",
            "use http://IP:PORT/path with an IPv4 number and percent-encoded characters" };
    for (auto const& field : request.headers) {
        if (!isToken(field.name) || !isFieldValue(field.value))
            return error { error_kind::BadInput, "the header \"" + field.name + "\" holds forbidden characters",
                "remove line breaks and other control characters" };
    }
    return empty {};
}

curl_transfer::curl_transfer(
    CURL* reusedHandle, http_exchange_id id, http_client_request request, http_callback callback)
    : m_handle(reusedHandle != nullptr ? reusedHandle : curl_easy_init())
    , m_id(id)
    , m_request(std::move(request))
    , m_callback(std::move(callback))
{
    curl_easy_reset(m_handle);
    prepare();
    prepareBody();
    prepareHeaders();
}

curl_transfer::~curl_transfer()
{
    curl_slist_free_all(m_headers);
    if (m_handle != nullptr)
        curl_easy_cleanup(m_handle);
}

CURL* curl_transfer::releaseHandle() { return std::exchange(m_handle, nullptr); }

void curl_transfer::prepare()
{
    curl_easy_setopt(m_handle, CURLOPT_PRIVATE, this);
    curl_easy_setopt(m_handle, CURLOPT_URL, m_request.url.c_str());
    curl_easy_setopt(m_handle, CURLOPT_PATH_AS_IS, 1L);
    curl_easy_setopt(m_handle, CURLOPT_PROTOCOLS_STR, "http");
    curl_easy_setopt(m_handle, CURLOPT_PROXY, "");
    curl_easy_setopt(m_handle, CURLOPT_HTTP_VERSION, static_cast<long>(CURL_HTTP_VERSION_1_1));
    curl_easy_setopt(m_handle, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(m_handle, CURLOPT_TCP_NODELAY, 1L);
    curl_easy_setopt(m_handle, CURLOPT_FOLLOWLOCATION, 0L);
    curl_easy_setopt(m_handle, CURLOPT_TIMEOUT_MS, std::max<long>(1, m_request.timeout.count()));
    curl_easy_setopt(m_handle, CURLOPT_CONNECTTIMEOUT_MS, std::max<long>(1, m_request.connectTimeout.count()));
    curl_easy_setopt(m_handle, CURLOPT_WRITEFUNCTION, &curl_transfer::onBody);
    curl_easy_setopt(m_handle, CURLOPT_WRITEDATA, this);
    curl_easy_setopt(m_handle, CURLOPT_HEADERFUNCTION, &curl_transfer::onHeader);
    curl_easy_setopt(m_handle, CURLOPT_HEADERDATA, this);
    if (m_request.reuse == connection_reuse::Forbidden) {
        curl_easy_setopt(m_handle, CURLOPT_FRESH_CONNECT, 1L);
        curl_easy_setopt(m_handle, CURLOPT_FORBID_REUSE, 1L);
    }
}

void curl_transfer::prepareBody()
{
    if (m_request.method == "HEAD") {
        curl_easy_setopt(m_handle, CURLOPT_NOBODY, 1L);
        return;
    }
    if (methodMayHaveBody(m_request.method) || !m_request.body.empty()) {
        curl_easy_setopt(m_handle, CURLOPT_POST, 1L);
        curl_easy_setopt(m_handle, CURLOPT_POSTFIELDSIZE_LARGE, static_cast<curl_off_t>(m_request.body.size()));
        curl_easy_setopt(m_handle, CURLOPT_POSTFIELDS, m_request.body.data());
    }
    curl_easy_setopt(m_handle, CURLOPT_CUSTOMREQUEST, m_request.method.c_str());
}

void curl_transfer::prepareHeaders()
{
    for (auto const& field : m_request.headers) {
        if (isConnectionHeader(field.name))
            continue;
        addHeaderLine(field.value.empty() ? field.name + ";" : field.name + ": " + field.value);
    }
    // libcurl would add these by itself, and wait for the target's consent to a long body.
    for (char const* name : { "Accept", "Content-Type", "Expect" }) {
        if (!hasHeader(m_request.headers, name) || isConnectionHeader(name))
            addHeaderLine(std::string(name) + ":");
    }
    curl_easy_setopt(m_handle, CURLOPT_HTTPHEADER, m_headers);
}

void curl_transfer::addHeaderLine(std::string const& line) { m_headers = curl_slist_append(m_headers, line.c_str()); }

size_t curl_transfer::onBody(char* data, size_t size, size_t count, void* self)
{
    auto& transfer = *static_cast<curl_transfer*>(self);
    size_t const bytes = size * count;
    if (transfer.m_response.body.size() + bytes > transfer.m_request.maximumBodyBytes) {
        transfer.m_isTooLong = true;
        return 0;
    }
    transfer.m_response.body.append(data, bytes);
    return bytes;
}

size_t curl_transfer::onHeader(char* data, size_t size, size_t count, void* self)
{
    auto& response = static_cast<curl_transfer*>(self)->m_response;
    std::string_view const line(data, size * count);
    if (line.substr(0, 5) == "HTTP/") {
        // An interim answer (1xx) may have come before; only the last one counts.
        response.headers.clear();
        return line.size();
    }
    auto const colon = line.find(':');
    if (colon == std::string_view::npos)
        return line.size();
    auto const value = absl::StripAsciiWhitespace(absl::string_view(data + colon + 1, line.size() - colon - 1));
    response.headers.push_back({ std::string(line.substr(0, colon)), std::string(value) });
    return line.size();
}

bool curl_transfer::isEndProvable() const
{
    if (m_request.method == "HEAD" || m_response.status == 204 || m_response.status == 304)
        return true;
    return hasHeader(m_response.headers, "Content-Length") || hasHeader(m_response.headers, "Transfer-Encoding");
}

result<http_response> curl_transfer::finish(CURLcode code)
{
    if (code != CURLE_OK)
        return describe(code);
    long status = 0;
    curl_easy_getinfo(m_handle, CURLINFO_RESPONSE_CODE, &status);
    m_response.status = static_cast<int>(status);
    if (!isEndProvable())
        return error { error_kind::OutcomeUnknown, "the answer of " + m_request.url + " does not say where it ends",
            "make the server send Content-Length" };
    return std::move(m_response);
}

error curl_transfer::describe(CURLcode code) const
{
    std::string const message = m_request.method + " " + m_request.url + ": " + curl_easy_strerror(code);
    if (m_isTooLong)
        return error { error_kind::OutcomeUnknown,
            message + ": the answer is longer than " + std::to_string(m_request.maximumBodyBytes) + " bytes",
            "ask for less, or raise the limit" };
    // The count is never reset within a transfer, so a repeat by libcurl that fails to connect does not hide that the
    // first attempt was sent.
    long requestBytes = 0;
    curl_easy_getinfo(m_handle, CURLINFO_REQUEST_SIZE, &requestBytes);
    if (requestBytes == 0)
        return error { error_kind::Unavailable, message, "check that the other process runs and can be reached" };
    return error { error_kind::OutcomeUnknown, message, "find out what became of the request before it is sent again" };
}

error curl_transfer::cancelled()
{
    return error { error_kind::OutcomeUnknown, "the request was cancelled",
        "find out what became of the request before it is sent again" };
}

} // namespace merlinpier
