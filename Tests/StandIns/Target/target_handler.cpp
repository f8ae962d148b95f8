#include <Tests/StandIns/Target/target_handler.h>

#include <Tests/StandIns/Target/target_run.h>
#include <nlohmann/json.hpp>

namespace merlinpier {

namespace {

// The answer by which a target vouches that nothing was run.
http_response notRunResponse(std::string const& reason)
{
    auto response = jsonResponse(503, nlohmann::json { { "message", reason } }.dump());
    response.headers.push_back({ "Merlinpier-Not-Run", "true" });
    return response;
}

} // namespace

target_handler::target_handler(target_environment& environment)
    : m_environment(environment)
{
}

void target_handler::didReceiveRequest(http_request request, std::shared_ptr<http_responder> responder)
{
    if (request.path == "/ledger")
        return responder->respond(jsonResponse(200, m_environment.ledger.json()));
    if (request.path == "/health")
        return responder->respond(health());
    if (request.path == "/load")
        return responder->respond(load());
    if (request.path == "/notice")
        return responder->respond(setNotice(request));
    run(std::move(request), std::move(responder));
}

http_response target_handler::setNotice(http_request const& request)
{
    auto const wanted = nlohmann::json::parse(request.body, nullptr, false);
    if (!wanted.is_object())
        return jsonResponse(400, R"({"message":"send {\"request_limit\": 20, \"leaving\": false}"})");
    auto const limit = wanted.find("request_limit");
    m_environment.requestLimit = limit != wanted.end() && limit->is_number() ? limit->get<double>() : -1;
    m_environment.isLeaving = wanted.value("leaving", false);
    return jsonResponse(200, "{}");
}

// A lying target says the opposite of the truth.
http_response target_handler::health() const
{
    bool const isHealthy = m_environment.phase == target_phase::Ready;
    bool const isLying = m_environment.settings.honesty == endpoint_honesty::Lying;
    return isHealthy != isLying ? jsonResponse(200, R"({"healthy":true})") : jsonResponse(503, R"({"healthy":false})");
}

http_response target_handler::load() const
{
    auto const slots = m_environment.slots.slots();
    auto const taken = std::min(m_environment.slots.taken(), slots);
    bool const isLying = m_environment.settings.honesty == endpoint_honesty::Lying;
    nlohmann::json const body { { "slots", slots }, { "running", isLying ? slots - taken : taken } };
    return jsonResponse(200, body.dump());
}

void target_handler::run(http_request request, std::shared_ptr<http_responder> responder)
{
    if (m_environment.phase == target_phase::Starting)
        return responder->respond(m_environment.withNotices(notRunResponse("the target is still starting")));
    auto const remaining = millisecondsHeader(request, "Merlinpier-Deadline-Ms");
    if (remaining && *remaining <= milliseconds::zero())
        return responder->respond(m_environment.withNotices(notRunResponse("the deadline had passed on arrival")));
    if (!m_environment.slots.tryTake())
        return responder->respond(m_environment.withNotices(notRunResponse("all slots are taken")));
    std::make_shared<target_run>(m_environment, std::move(request), std::move(responder))->start();
}

} // namespace merlinpier
