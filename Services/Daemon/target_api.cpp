#include "target_api.h"

#include "operator_api.h"

#include <LibCore/json_text.h>
#include <nlohmann/json.hpp>

namespace merlinpier {

namespace {

constexpr std::string_view pathPrefix = "/targets/";

result<target_state> readState(std::string const& name)
{
    if (name == "starting")
        return target_state::Starting;
    if (name == "ready")
        return target_state::Ready;
    if (name == "draining")
        return target_state::Draining;
    return error { error_kind::BadInput, "state is \"" + name + "\"", "use starting, ready or draining" };
}

result<target_announcement> readAnnouncement(std::string const& body)
{
    auto const json = TRY(parseJson(body));
    if (!json.is_object())
        return error { error_kind::BadInput, "the announcement is no JSON object", "send {\"id\", \"service\", ...}" };
    target_announcement announcement;
    std::string state = "ready";
    for (auto const& [key, value] : json.items()) {
        if (!value.is_string())
            return error { error_kind::BadInput, "\"" + key + "\" is no text", "send it as a JSON string" };
        auto const text = value.get<std::string>();
        if (key == "id")
            announcement.id = text;
        else if (key == "service")
            announcement.service = text;
        else if (key == "licence")
            announcement.licence = text;
        else if (key == "address")
            announcement.address = text;
        else if (key == "state")
            state = text;
        else
            return error { error_kind::BadInput, "unknown key \"" + key + "\"",
                "use id, service, licence, address and state" };
    }
    announcement.state = TRY(readState(state));
    return announcement;
}

} // namespace

target_api::target_api(daemon& owner, discovery& departures)
    : m_daemon(owner)
    , m_discovery(departures)
{
}

http_response target_api::announce(http_request const& request)
{
    auto const announcement = readAnnouncement(request.body);
    if (announcement.isError())
        return errorResponse(announcement.failure());
    auto const claim = m_daemon.membership().highestClaim(announcement.value().licence);
    auto const done = m_daemon.targets().announce(announcement.value(), claim);
    if (done.isError())
        return errorResponse(done.failure());
    return jsonResponse(200, writeJson({ { "lease_ms", m_daemon.settings().targetLease.count() } }));
}

void target_api::drain(std::string const& id, std::shared_ptr<http_responder> const& responder)
{
    if (auto const done = m_daemon.targets().drain(id); done.isError()) {
        responder->respond(errorResponse(done.failure()));
        return;
    }
    // Targets that announce themselves here do not number their incarnations; workers of the platform do.
    auto const departure = m_daemon.targets().departureOf(id).value_or(target_departure { id, 0 });
    m_discovery.recordDeparture(departure, [responder](durability outcome) {
        if (outcome == durability::Stored)
            responder->respond(jsonResponse(200, "{}"));
        else
            responder->respond(errorResponse({ error_kind::Unavailable,
                "the target drains, but a crash of its daemon would undo that: the platform's store did not answer",
                "send the order again" }));
    });
}

http_response target_api::leave(std::string const& id)
{
    m_discovery.endOrder(id);
    auto const done = m_daemon.targets().leave(id);
    return done.isError() ? errorResponse(done.failure()) : jsonResponse(200, "{}");
}

void target_api::didReceiveRequest(http_request const& request, std::shared_ptr<http_responder> const& responder)
{
    auto const rest = request.path.substr(pathPrefix.size());
    auto const slash = rest.rfind('/');
    auto const verb = slash == std::string::npos ? "" : rest.substr(slash + 1);
    auto const id = rest.substr(0, slash);
    if (request.method != "POST")
        responder->respond(errorResponse({ error_kind::BadInput, "targets are told by POST", "use POST" }));
    else if (rest == "announce")
        responder->respond(announce(request));
    else if (verb == "drain")
        drain(id, responder);
    else if (verb == "leave")
        responder->respond(leave(id));
    else
        responder->respond(errorResponse({ error_kind::NotFound, "no such request: " + request.path,
            "use /targets/announce, /targets/{id}/drain or /targets/{id}/leave" }));
}

} // namespace merlinpier
