#include <LibPlatform/http_object_store.h>

#include <LibPlatform/object_codec.h>

namespace merlinpier {

namespace {

// How long after the end of a watch its answer may still arrive.
constexpr milliseconds watchMargin { 2000 };

// The kinds of operation that differ in what a lost answer means.
enum class operation { Read, Write };

error describeStatus(http_response const& response, operation kind)
{
    std::string const message = "the platform answered " + std::to_string(response.status);
    switch (response.status) {
    case 409:
        return error { error_kind::Conflict, "the object was changed by somebody else", "read it again" };
    case 429:
        return error { error_kind::RateLimited, "the platform's limit on calls was met",
            "call again after a back-off" };
    case 503:
        return error { error_kind::Unavailable, message, "serve on, and try again after a back-off" };
    default:
        break;
    }
    if (response.status < 500)
        return error { error_kind::BadInput, message, "check the key and the size of the value" };
    if (kind == operation::Read)
        return error { error_kind::Unavailable, message, "try again after a back-off" };
    return error { error_kind::OutcomeUnknown, message, "read the object to learn whether the write took effect" };
}

// A read has no effect, so it does not matter whether a failed one was run.
error describeFailure(error failure, operation kind)
{
    if (kind == operation::Read && failure.kind == error_kind::OutcomeUnknown)
        failure.kind = error_kind::Unavailable;
    return failure;
}

result<std::optional<stored_object>> judgeRead(result<http_response> outcome)
{
    if (outcome.isError())
        return describeFailure(outcome.releaseFailure(), operation::Read);
    if (outcome.value().status == 404)
        return std::optional<stored_object>();
    if (outcome.value().status != 200)
        return describeStatus(outcome.value(), operation::Read);
    return std::optional(TRY(objectFromJson(outcome.value().body)));
}

result<stored_object> judgeWrite(result<http_response> outcome, std::string value)
{
    if (outcome.isError())
        return describeFailure(outcome.releaseFailure(), operation::Write);
    if (outcome.value().status != 200)
        return describeStatus(outcome.value(), operation::Write);
    auto object = objectFromJson(outcome.value().body);
    if (object.isError())
        return error { error_kind::OutcomeUnknown, object.failure().message, object.failure().remedy };
    object.value().value = std::move(value);
    return object;
}

result<std::vector<stored_object>> judgeList(result<http_response> outcome)
{
    if (outcome.isError())
        return describeFailure(outcome.releaseFailure(), operation::Read);
    if (outcome.value().status != 200)
        return describeStatus(outcome.value(), operation::Read);
    return objectsFromJson(outcome.value().body);
}

} // namespace

http_object_store::http_object_store(http_client& client, std::string const& address, milliseconds timeout)
    : m_client(client)
    , m_base("http://" + address)
    , m_timeout(timeout)
    , m_isAlive(std::make_shared<bool>(true))
{
}

// The client's end completes what is under way, when whoever asked may be gone as well.
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
    request.url = m_base + pathWithQuery;
    request.timeout = timeout;
    send(std::move(request),
        [callback = std::move(callback)](result<http_response> outcome) { callback(judgeRead(std::move(outcome))); });
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
    request.url = m_base + "/objects/" + encodeKey(key);
    if (condition.expectedRevision)
        request.url += "?revision=" + std::to_string(*condition.expectedRevision);
    request.body = value;
    request.timeout = m_timeout;
    // A repeat by libcurl of a write that took effect would yield a conflict with itself.
    request.reuse = connection_reuse::Forbidden;
    send(std::move(request), [value = std::move(value), callback = std::move(callback)](result<http_response> outcome) {
        callback(judgeWrite(std::move(outcome), value));
    });
}

void http_object_store::remove(std::string const& key, write_condition condition, remove_callback callback)
{
    http_client_request request;
    request.method = "DELETE";
    request.url = m_base + "/objects/" + encodeKey(key);
    if (condition.expectedRevision)
        request.url += "?revision=" + std::to_string(*condition.expectedRevision);
    request.timeout = m_timeout;
    request.reuse = connection_reuse::Forbidden;
    send(std::move(request), [callback = std::move(callback)](result<http_response> outcome) {
        if (outcome.isError())
            callback(describeFailure(outcome.releaseFailure(), operation::Write));
        else if (outcome.value().status != 200)
            callback(describeStatus(outcome.value(), operation::Write));
        else
            callback(empty {});
    });
}

void http_object_store::list(std::string const& prefix, list_callback callback)
{
    http_client_request request;
    request.url = m_base + "/objects?prefix=" + percentEncode(prefix);
    request.timeout = m_timeout;
    send(std::move(request),
        [callback = std::move(callback)](result<http_response> outcome) { callback(judgeList(std::move(outcome))); });
}

void http_object_store::watch(
    std::string const& key, std::uint64_t afterRevision, duration wait, read_callback callback)
{
    auto const waitMs = toMilliseconds(wait);
    sendRead(
        "/watch/" + encodeKey(key) + "?after=" + std::to_string(afterRevision) + "&wait_ms=" + std::to_string(waitMs),
        milliseconds(waitMs) + watchMargin, std::move(callback));
}

} // namespace merlinpier
