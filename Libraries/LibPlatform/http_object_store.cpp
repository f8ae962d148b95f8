#include <LibPlatform/http_object_store.h>

#include <LibPlatform/object_codec.h>

namespace merlinpier {

namespace {

// Added to the wait of a watch to give the timeout of its request, so that the answer has time to arrive.
constexpr milliseconds watchTimeoutMargin { 2000 };

// Decides what a failed request means: a read can always be repeated, while a write may have taken effect.
enum class operation { Read, Write };

// Maps a status that does not report success to an error.
error errorForStatus(http_response const& response, operation kind)
{
    std::string const message = "the platform answered with status " + std::to_string(response.status);
    switch (response.status) {
    case 409:
        return error { error_kind::Conflict, "the object was changed by another write", "read it again" };
    case 429:
        return error { error_kind::RateLimited, "the platform's call limit is exceeded",
            "call again after a back-off" };
    case 503:
        return error { error_kind::Unavailable, message, "keep serving, and retry after a back-off" };
    default:
        break;
    }
    if (response.status < 500)
        return error { error_kind::BadInput, message, "check the key and the size of the value" };
    if (kind == operation::Read)
        return error { error_kind::Unavailable, message, "try again after a back-off" };
    return error { error_kind::OutcomeUnknown, message, "read the object to learn whether the write took effect" };
}

// A read has no effect, so one whose answer was lost counts as Unavailable rather than OutcomeUnknown.
error classifyFailure(error failure, operation kind)
{
    if (failure.kind == error_kind::ConnectionLost)
        failure.kind = error_kind::OutcomeUnknown;
    if (kind == operation::Read && failure.kind == error_kind::OutcomeUnknown)
        failure.kind = error_kind::Unavailable;
    return failure;
}

result<std::optional<stored_object>> parseReadResponse(result<http_response> outcome)
{
    if (outcome.isError())
        return classifyFailure(outcome.releaseFailure(), operation::Read);
    if (outcome.value().status == 404)
        return std::optional<stored_object>();
    if (outcome.value().status != 200)
        return errorForStatus(outcome.value(), operation::Read);
    return std::optional(TRY(objectFromJson(outcome.value().body)));
}

result<stored_object> parseWriteResponse(result<http_response> outcome, std::string value)
{
    if (outcome.isError())
        return classifyFailure(outcome.releaseFailure(), operation::Write);
    if (outcome.value().status != 200)
        return errorForStatus(outcome.value(), operation::Write);
    auto object = objectFromJson(outcome.value().body);
    if (object.isError())
        return error { error_kind::OutcomeUnknown, object.failure().message, object.failure().remedy };
    object.value().value = std::move(value);
    return object;
}

result<std::vector<stored_object>> parseListResponse(result<http_response> outcome)
{
    if (outcome.isError())
        return classifyFailure(outcome.releaseFailure(), operation::Read);
    if (outcome.value().status != 200)
        return errorForStatus(outcome.value(), operation::Read);
    return objectsFromJson(outcome.value().body);
}

} // namespace

http_object_store::http_object_store(http_client& client, std::string const& address, milliseconds timeout)
    : m_client(client)
    , m_baseUrl("http://" + address)
    , m_timeout(timeout)
    , m_isAlive(std::make_shared<bool>(true))
{
}

// The HTTP client completes pending requests when it is destroyed. By then the store is gone, and what the callbacks
// refer to may be gone as well.
void http_object_store::send(http_client_request request, http_callback callback)
{
    m_client.send(std::move(request),
        [callback = std::move(callback), alive = std::weak_ptr(m_isAlive)](result<http_response> outcome) {
            if (alive.lock())
                callback(std::move(outcome));
        });
}

void http_object_store::sendRead(std::string const& pathWithQuery, milliseconds timeout, read_callback callback)
{
    http_client_request request;
    request.url = m_baseUrl + pathWithQuery;
    request.timeout = timeout;
    send(std::move(request), [callback = std::move(callback)](result<http_response> outcome) {
        callback(parseReadResponse(std::move(outcome)));
    });
}

void http_object_store::read(std::string const& key, read_callback callback)
{
    sendRead("/objects/" + encodeKey(key), m_timeout, std::move(callback));
}

void http_object_store::write(
    std::string const& key, std::string value, write_condition condition, write_callback callback)
{
    http_client_request request;
    request.method = "PUT";
    request.url = m_baseUrl + "/objects/" + encodeKey(key);
    if (condition.expectedRevision)
        request.url += "?revision=" + std::to_string(*condition.expectedRevision);
    request.body = value;
    request.timeout = m_timeout;
    // On a reused connection, libcurl may repeat a request; a write that took effect would then conflict with itself.
    request.reuse = connection_reuse::Forbidden;
    send(std::move(request), [value = std::move(value), callback = std::move(callback)](result<http_response> outcome) {
        callback(parseWriteResponse(std::move(outcome), value));
    });
}

void http_object_store::remove(std::string const& key, write_condition condition, remove_callback callback)
{
    http_client_request request;
    request.method = "DELETE";
    request.url = m_baseUrl + "/objects/" + encodeKey(key);
    if (condition.expectedRevision)
        request.url += "?revision=" + std::to_string(*condition.expectedRevision);
    request.timeout = m_timeout;
    request.reuse = connection_reuse::Forbidden;
    send(std::move(request), [callback = std::move(callback)](result<http_response> outcome) {
        if (outcome.isError())
            callback(classifyFailure(outcome.releaseFailure(), operation::Write));
        else if (outcome.value().status != 200)
            callback(errorForStatus(outcome.value(), operation::Write));
        else
            callback(empty {});
    });
}

void http_object_store::list(std::string const& prefix, list_callback callback)
{
    http_client_request request;
    request.url = m_baseUrl + "/objects?prefix=" + percentEncode(prefix);
    request.timeout = m_timeout;
    send(std::move(request), [callback = std::move(callback)](result<http_response> outcome) {
        callback(parseListResponse(std::move(outcome)));
    });
}

void http_object_store::watch(
    std::string const& key, std::uint64_t afterRevision, duration wait, read_callback callback)
{
    auto const waitMs = toMilliseconds(wait);
    sendRead(
        "/watch/" + encodeKey(key) + "?after=" + std::to_string(afterRevision) + "&wait_ms=" + std::to_string(waitMs),
        milliseconds(waitMs) + watchTimeoutMargin, std::move(callback));
}

} // namespace merlinpier
