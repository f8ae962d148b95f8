#include <Tests/StandIns/ByteRelay/relay_control.h>

#include <array>
#include <nlohmann/json.hpp>

namespace merlinpier {

namespace {

using nlohmann::json;

struct mode_name {
    char const* name;
    relay_mode mode;
};

constexpr std::array<mode_name, 6> modeNames { { { "pass", relay_mode::Pass }, { "silent", relay_mode::Silent },
    { "silent_forward", relay_mode::SilentForward }, { "silent_back", relay_mode::SilentBack },
    { "refuse", relay_mode::Refuse }, { "delay", relay_mode::Delay } } };

error badChange(std::string what)
{
    return { error_kind::BadInput, std::move(what),
        R"(send {"mode": "pass"/"silent"/"silent_forward"/"silent_back"/"refuse"/"delay", "delay_ms": 0, )"
        R"("connections": "existing"/"all", "from": "127.0.1."})" };
}

} // namespace

result<relay_change> parseRelayChange(std::string_view text)
{
    auto const document = json::parse(text, nullptr, false);
    if (!document.is_object() || !document.contains("mode"))
        return badChange("the body is no JSON object with a mode");
    relay_change change;
    try {
        auto const wanted = document.at("mode").get<std::string>();
        auto const found = std::find_if(
            modeNames.begin(), modeNames.end(), [&](auto const& candidate) { return wanted == candidate.name; });
        if (found == modeNames.end())
            return badChange("\"" + wanted + "\" is no mode");
        change.mode = found->mode;
        change.delay = milliseconds(document.value("delay_ms", 0U));
        change.from = document.value("from", "");
        auto const connections = document.value("connections", "all");
        if (connections != "all" && connections != "existing")
            return badChange("connections is neither existing nor all");
        change.scope = connections == "all" ? relay_scope::All : relay_scope::Existing;
    } catch (json::exception const& failure) {
        return badChange(failure.what());
    }
    return change;
}

void relay_control::didReceiveRequest(http_request request, std::shared_ptr<http_responder> responder)
{
    if (request.path == "/state")
        return responder->respond(jsonResponse(200, json { { "connections", m_relay.openConnections() } }.dump()));
    if (request.path != "/mode" || request.method != "POST")
        return responder->respond(jsonResponse(404, R"({"message":"use POST /mode or GET /state"})"));
    auto const change = parseRelayChange(request.body);
    if (change.isError())
        return responder->respond(jsonResponse(400, json { { "message", change.failure().text() } }.dump()));
    m_relay.change(change.value());
    responder->respond(jsonResponse(200, "{}"));
}

} // namespace merlinpier
