#include <Tests/LibCalls/trace_replay.h>

#include <Tests/LibRouting/fleet_fixture.h>
#include <array>
#include <nlohmann/json.hpp>

namespace merlinpier::fixture {

namespace {

using nlohmann::json;

constexpr std::array refusalNames { "Overloaded", "Draining", "UnknownService", "UnknownTarget", "StaleGeneration",
    "OtherInstance", "DeadlineTooShort", "HopLimit", "Unlicensed", "TargetUnreachable" };
constexpr std::array outcomeNames { "Finished", "Running", "Unknown", "CannotTell", "Refused", "OutcomeUnknown" };

template <typename Enum, std::size_t Count> std::string nameOf(std::array<char const*, Count> const& names, Enum value)
{
    return names.at(static_cast<std::size_t>(value));
}

template <typename Enum, std::size_t Count>
Enum valueOf(std::array<char const*, Count> const& names, std::string const& name)
{
    for (std::size_t i = 0; i < Count; ++i) {
        if (names[i] == name)
            return static_cast<Enum>(i);
    }
    throw std::invalid_argument("the trace contains the unknown value " + name);
}

std::string text(call_answer const& answer) { return "answer " + answer.id; }
std::string text(call_refused const& refusal)
{
    return "refused " + refusal.id + " " + nameOf(refusalNames, refusal.reason);
}
std::string text(call_lost const& lost) { return "lost " + lost.id; }
std::string text(call_query_answer const& answer)
{
    std::string line = "status";
    for (auto const& status : answer.statuses)
        line += " " + status.id + " " + nameOf(outcomeNames, status.outcome);
    return line;
}
std::string text(call_cancel const& cancel) { return "cancel " + cancel.id; }
std::string text(call_acknowledge const& acknowledge)
{
    std::string line = "acknowledge";
    for (auto const& id : acknowledge.ids)
        line += " " + id;
    return line;
}
std::string text(call_query const& query)
{
    std::string line = "query";
    for (auto const& id : query.ids)
        line += " " + id;
    return line;
}
template <typename Message> std::string text(Message const&) { return "unexpected message"; }

std::string text(call_answered const& outcome)
{
    return "answered by " + outcome.target + " after " + std::to_string(outcome.attempts);
}
std::string text(call_not_run const& outcome)
{
    return "not run " + nameOf(refusalNames, outcome.reason) + (outcome.retryAfterMs > 0 ? "" : " with no retry time");
}
std::string text(call_outcome_unknown const&) { return "unknown"; }

struct trace_fleet {
    std::shared_ptr<configuration_set const> configuration;
    membership_table members;
};

trace_fleet readFleet(json const& trace)
{
    trace_fleet fleet;
    std::vector<std::string> licences;
    for (auto const& target : trace.at("targets")) {
        std::string const id = target.at("id");
        licences.push_back("L-" + id);
        std::string const vm = target.value("vm", "vm-" + id);
        auto const state = target.value("draining", false) ? target_state::Draining : target_state::Ready;
        fleet.members.merge(makeMember(vm, target.value("zone", "a"), target.value("instance", 1),
            { { id, "slots", licences.back(), 1, state, 10 } }));
    }
    fleet.configuration = makeConfiguration(
        { makeService("slots", licences, trace.value("slots", 1), milliseconds(trace.value("deadline_ms", 500))) });
    return fleet;
}

class client_replay {
public:
    explicit client_replay(json const& trace)
        : m_fleet(readFleet(trace))
        , m_client({}, { "a" })
    {
        m_client.setSnapshot(routing_snapshot::build(m_fleet.configuration, m_fleet.members), {});
    }

    std::vector<std::string> play(json const& step, time_point now)
    {
        std::string const event = step.at("event");
        if (event == "start")
            return describe(m_client.start(readRequest(step), now, m_random));
        if (event == "sent") {
            m_client.didSend(step.at("id"), step.at("address"), step.at("generation"), now);
            return {};
        }
        if (event == "cancel")
            return describe(m_client.cancel(step.at("id"), now));
        if (event == "ready")
            return describe(
                m_client.didBecomeReady(step.at("address"), step.at("instance"), step.at("generation"), now, m_random));
        if (event == "unreachable")
            return describe(m_client.didBecomeUnreachable(step.at("address"), now, m_random));
        if (event == "tick")
            return describe(m_client.tick(now, m_random));
        return describe(m_client.didReceive(step.at("from"), readMessage(event, step), now, m_random));
    }

private:
    static caller_request readRequest(json const& step)
    {
        caller_request request;
        request.id = step.at("id");
        request.service = step.value("service", "slots");
        request.method = step.value("method", "POST");
        request.path = step.value("path", "/visits");
        request.idempotencyKey = step.value("key", "");
        request.hops = step.value("hops", 0);
        if (step.contains("remaining_ms"))
            request.remaining = milliseconds(step.at("remaining_ms").get<int>());
        return request;
    }

    static message readMessage(std::string const& event, json const& step)
    {
        call_answer answer;
        answer.id = step.at("id");
        answer.status = 200;
        answer.loadPermille = step.value("load", 0);
        if (event == "answer")
            return answer;
        if (event == "refused")
            return call_refused { answer.id, valueOf<refusal_reason>(refusalNames, step.at("reason")),
                step.value("retry_after_ms", 10U), answer.loadPermille, 1 };
        if (event == "lost")
            return call_lost { answer.id };
        auto const outcome = valueOf<call_outcome>(outcomeNames, step.at("outcome"));
        call_status status { answer.id, outcome, {}, {} };
        if (outcome == call_outcome::Finished)
            status.answer = answer;
        return call_query_answer { step.value("instance", 1U), { status } };
    }

    trace_fleet m_fleet;
    call_client m_client;
    generator m_random { 1 };
};

class server_replay {
public:
    explicit server_replay(json const& trace)
        : m_fleet(readFleet(trace))
        , m_server({ 1 })
    {
        for (auto const& target : trace.at("targets")) {
            std::string const id = target.at("id");
            auto const announced
                = m_targets.announce({ id, "slots", "L-" + id, "127.0.0.1:9000", target_state::Ready }, 0, {});
            if (announced.isError())
                throw std::invalid_argument(announced.failure().text());
        }
    }

    std::vector<std::string> play(json const& step, time_point now)
    {
        std::string const event = step.at("event");
        call_origin const origin { step.value("from", 7U), step.value("generation", 1U) };
        if (event == "hello") {
            m_server.raiseFence(origin, now);
            return {};
        }
        if (event == "call")
            return describe(
                m_server.didReceiveCall(origin, readCall(step, origin), m_targets, *m_fleet.configuration, now));
        if (event == "cancel")
            return describe(m_server.didReceiveCancel(origin, { step.at("id") }, now));
        if (event == "acknowledge") {
            m_server.didReceiveAcknowledge(origin, { { step.at("id") } });
            return {};
        }
        if (event == "query")
            return describe(m_server.didReceiveQuery(origin, { step.value("instance", 1U), { step.at("id") } }, now));
        // If the target states that it did not run the call, the owner reports a refusal.
        if (event == "finish" && step.value("not_run", false))
            return describe(m_server.didRefuse(step.at("call"), refusal_reason::Overloaded, now));
        if (event == "finish")
            return describe(m_server.didFinish(step.at("call"), readAnswer(step), now));
        if (event == "fail")
            return describe(m_server.didRefuse(step.at("call"), refusal_reason::TargetUnreachable, now));
        if (event == "lose")
            return describe(m_server.didLose(step.at("call"), now));
        if (event == "drain")
            return m_targets.drain(step.at("target"), now).isError() ? std::vector<std::string> { "no such target" }
                                                                     : std::vector<std::string> {};
        if (event == "tick")
            return describe(m_server.tick(now));
        throw std::invalid_argument("the trace contains the unknown event " + event);
    }

private:
    static call_request readCall(json const& step, call_origin const& origin)
    {
        call_request call;
        call.id = step.at("id");
        call.instance = step.value("instance", 1U);
        call.generation = origin.generation;
        call.service = step.value("service", "slots");
        call.target = step.value("target", "t0");
        call.callClass = step.value("report", false) ? call_class::Report : call_class::Confirmation;
        call.isIdempotent = step.value("idempotent", false);
        call.remainingMs = step.value("remaining_ms", 500U);
        call.hops = step.value("hops", 0U);
        return call;
    }

    static call_answer readAnswer(json const& step)
    {
        call_answer answer;
        answer.status = step.value("status", 200U);
        return answer;
    }

    trace_fleet m_fleet;
    local_targets m_targets { milliseconds(1000000000) };
    call_server m_server;
};

template <typename Replay> std::vector<replayed_step> replayWith(json const& trace)
{
    Replay replay(trace);
    std::vector<replayed_step> steps;
    for (auto const& step : trace.at("steps")) {
        auto const now = time_point(seconds(1000)) + milliseconds(step.value("at_ms", 0));
        steps.push_back({ step.dump(), step.value("expect", std::vector<std::string> {}), replay.play(step, now) });
    }
    return steps;
}

} // namespace

std::vector<std::string> describe(std::vector<client_action> const& actions)
{
    std::vector<std::string> lines;
    for (auto const& action : actions) {
        if (auto const* dispatch = std::get_if<dispatch_call>(&action))
            lines.push_back("dispatch " + dispatch->call.id + " to " + dispatch->address + " with "
                + std::to_string(dispatch->call.remainingMs) + " ms");
        else if (auto const* send = std::get_if<send_to_target>(&action))
            lines.push_back(
                std::visit([](auto const& content) { return text(content); }, send->content) + " at " + send->address);
        else if (auto const* taken = std::get_if<withdraw_dispatch>(&action))
            lines.push_back("take back " + taken->id);
        else if (auto const* completed = std::get_if<complete_call>(&action))
            lines.push_back("complete " + completed->id + ": "
                + std::visit([](auto const& outcome) { return text(outcome); }, completed->outcome));
    }
    return lines;
}

std::vector<std::string> describe(std::vector<server_action> const& actions)
{
    std::vector<std::string> lines;
    for (auto const& action : actions) {
        if (auto const* run = std::get_if<run_call>(&action))
            lines.push_back("run " + run->call.id);
        else if (auto const* abort = std::get_if<abort_call>(&action))
            lines.push_back("abort " + abort->id);
        else if (auto const* reply = std::get_if<reply_to_origin>(&action))
            lines.push_back("to " + std::to_string(reply->instance) + ": "
                + std::visit([](auto const& content) { return text(content); }, reply->content));
    }
    return lines;
}

std::vector<replayed_step> replayTrace(json const& trace)
{
    return trace.at("decides") == "first daemon" ? replayWith<client_replay>(trace) : replayWith<server_replay>(trace);
}

} // namespace merlinpier::fixture
