#include <LibOperator/operator_commands.h>

#include <LibConfiguration/service_configuration.h>
#include <LibConfiguration/submission_json.h>
#include <LibOperator/text_report.h>

#include <deque>
#include <gtest/gtest.h>
#include <sstream>

namespace merlinpier {

namespace {

// Returns prepared answers in order, repeating the last one, and records the requests.
class scripted_http_client final : public http_client {
public:
    std::deque<result<http_response>> answers;
    std::vector<http_client_request> requests;

    http_exchange_id send(http_client_request request, http_callback callback) override
    {
        requests.push_back(std::move(request));
        auto answer = answers.front();
        if (answers.size() > 1)
            answers.pop_front();
        callback(std::move(answer));
        return requests.size();
    }
    void cancel(http_exchange_id) override { }
};

// Advances only when a command sleeps.
class stepped_clock final : public operator_clock {
public:
    time_point now() override { return m_now; }
    void sleep(duration time) override { m_now += time; }

private:
    time_point m_now {};
};

error unreachable() { return { error_kind::Unavailable, "connection refused", "" }; }
error timedOut() { return { error_kind::OutcomeUnknown, "timed out", "" }; }
http_response ok(std::string body) { return jsonResponse(200, std::move(body)); }
http_response refused(error const& failure) { return jsonResponse(httpStatus(failure.kind), serializeError(failure)); }

http_response acceptedAnswer() { return ok(serializeAccepted({ "id-1", 7, "slots", 3, "owner" })); }

http_response statusAnswer(bool isInForce)
{
    std::string const applied = isInForce ? "7" : "6";
    std::string const behind = isInForce ? "" : "\"vm-b\"";
    return ok(R"({"version":7,"applied":7,"asked":7,"in_force":)" + std::string(isInForce ? "true" : "false")
        + R"(,"members":[{"vm":"vm-a","zone":"a","state":"alive","applied_version":7,"refused_version":0,)"
          R"("refused_reason":""},{"vm":"vm-b","zone":"b","state":"alive","applied_version":)"
        + applied + R"(,"refused_version":8,"refused_reason":"no such licence"}],"behind":[)" + behind
        + R"json(],"silent":["vm-c"],"limited":["t on vm-a (20 requests a second)"],"zones":[{"zone":"a","members":1,"applied":7,"reachable":true},)json"
          R"({"zone":"c","members":1,"applied":5,"reachable":false}],"platform":{"reachable":false,"silent_ms":900}})");
}

class OperatorCommandsTest : public testing::Test {
protected:
    exit_code run(std::function<exit_code(operator_commands&)> const& command,
        std::deque<result<http_response>> answers, output_format format = output_format::Text)
    {
        m_http.answers = std::move(answers);
        m_http.requests.clear();
        m_output.str("");
        m_errors.str("");
        daemon_client client(m_http, { "10.0.0.1:80", "10.0.0.2:80" });
        operator_commands commands(client, m_clock, m_generator, m_output, m_errors, format);
        return command(commands);
    }

    exit_code submit(std::deque<result<http_response>> answers, change_options const& options = {})
    {
        return run([&](auto& commands) { return commands.submit(questionnaireTemplate("slots"), options); },
            std::move(answers));
    }

    std::string sentId(std::size_t request) const { return parseSubmission(m_http.requests[request].body).value().id; }

    bool hasError(std::string const& part) const { return m_errors.str().find(part) != std::string::npos; }

    scripted_http_client m_http;
    stepped_clock m_clock;
    generator m_generator { 1 };
    std::ostringstream m_output;
    std::ostringstream m_errors;
};

} // namespace

TEST_F(OperatorCommandsTest, FailsOverOnlyIfADaemonIsUnreachable)
{
    EXPECT_EQ(submit({ unreachable(), acceptedAnswer() }), exit_code::Success);
    ASSERT_EQ(m_http.requests.size(), 2u);
    EXPECT_EQ(m_http.requests[0].url, "http://10.0.0.1:80/config/submissions");
    EXPECT_EQ(m_http.requests[1].url, "http://10.0.0.2:80/config/submissions");
    EXPECT_EQ(m_http.requests[0].reuse, connection_reuse::Forbidden);
    EXPECT_EQ(sentId(0), sentId(1));
    EXPECT_EQ(sentId(0).size(), 32u);

    EXPECT_EQ(submit({ refused({ error_kind::Conflict, "now at revision 3", "look" }) }), exit_code::Conflict);
    EXPECT_EQ(submit({ refused({ error_kind::Unavailable, "platform down", "" }) }), exit_code::Unavailable);
    EXPECT_EQ(m_http.requests.size(), 1u);
    EXPECT_EQ(submit({ unreachable() }), exit_code::Unavailable);
    EXPECT_EQ(m_http.requests.size(), 2u);
    EXPECT_TRUE(hasError("unable to reach any daemon of 10.0.0.1:80, 10.0.0.2:80"));
}

TEST_F(OperatorCommandsTest, RetriesAnUnknownOutcomeWithTheSameIdentifier)
{
    EXPECT_EQ(submit({ timedOut(), refused({ error_kind::OutcomeUnknown, "lost", "" }), acceptedAnswer() }),
        exit_code::Success);
    ASSERT_EQ(m_http.requests.size(), 3u);
    EXPECT_EQ(sentId(0), sentId(2));

    // Unreachable daemons leave the outcome unknown; a refusal of the retry is definite.
    EXPECT_EQ(submit({ timedOut(), unreachable() }), exit_code::OutcomeUnknown);
    EXPECT_TRUE(hasError("--id " + sentId(0)));
    EXPECT_EQ(submit({ timedOut(), refused({ error_kind::Conflict, "taken", "" }) }), exit_code::Conflict);

    change_options options;
    options.id = "earlier-id";
    options.baseRevision = 2;
    EXPECT_EQ(submit({ acceptedAnswer() }, options), exit_code::Success);
    EXPECT_EQ(sentId(0), "earlier-id");
    EXPECT_EQ(parseSubmission(m_http.requests[0].body).value().baseRevision, 2u);
}

TEST_F(OperatorCommandsTest, WaitsUntilInForceAndListsDaemonsThatAreBehind)
{
    change_options options;
    options.waitsUntilInForce = true;
    EXPECT_EQ(submit({ acceptedAnswer(), statusAnswer(false), unreachable(), statusAnswer(true) }, options),
        exit_code::Success);
    EXPECT_EQ(m_http.requests.back().url, "http://10.0.0.2:80/status?version=7");
    EXPECT_TRUE(hasError("version 7: applied by 1 of 2 live daemons; behind: vm-b; silent: vm-c"));

    auto const wait = [](operator_commands& commands) {
        return commands.waitUntilInForce(7, seconds(5));
    };
    EXPECT_EQ(run(wait, { statusAnswer(false) }), exit_code::WaitTimedOut);
    for (auto const* part :
        { "version 7 is not in force", "behind: vm-b", "silent: vm-c", "limited: t on vm-a (20 requests a second)",
            "; unreachable", "vm-b refused version 8: no such licence", "has not answered for 900 ms" })
        EXPECT_NE(m_output.str().find(part), std::string::npos) << part << "\n" << m_output.str();
    EXPECT_EQ(run(wait, { unreachable() }), exit_code::Unavailable);
    EXPECT_EQ(run(wait, { ok("{}") }), exit_code::Refused);
}

TEST_F(OperatorCommandsTest, PrintsOneJsonLineForScripts)
{
    auto const showAll = [](operator_commands& commands) {
        return commands.showAll();
    };
    std::string const body = R"({"version":1,"services":[{"service":"a","revision":1,"owner":"o","digest":"d"}]})";
    EXPECT_EQ(run(showAll, { ok(body) }, output_format::Json), exit_code::Success);
    EXPECT_EQ(m_output.str(), body + "\n");
    EXPECT_EQ(run(showAll, { unreachable() }, output_format::Json), exit_code::Unavailable);
    EXPECT_EQ(parseError(m_output.str()).kind, error_kind::Unavailable);
    EXPECT_EQ(m_errors.str(), "");
    EXPECT_EQ(run(showAll, { ok(body) }), exit_code::Success);
    EXPECT_NE(m_output.str().find("revision 1"), std::string::npos);
    EXPECT_EQ(run(showAll, { ok(R"({"version":1,"services":[{}]})") }), exit_code::Refused);
}

TEST_F(OperatorCommandsTest, ShowsAnswersThatCanBeSubmittedAgain)
{
    auto const answers = parseQuestionnaire(questionnaireTemplate("slots")).value();
    auto const detail = ok(serializeServiceDetail(generateServiceConfiguration(answers, 4)));
    EXPECT_EQ(run([](auto& commands) { return commands.showAnswers("slots"); }, { detail }), exit_code::Success);
    EXPECT_EQ(parseQuestionnaire(m_output.str()).value(), answers);
    EXPECT_EQ(run([](auto& commands) { return commands.show("../x y"); }, { detail }), exit_code::Success);
    EXPECT_EQ(m_http.requests[0].url, "http://10.0.0.1:80/config/services/..%2Fx%20y");
    EXPECT_EQ(run([](auto& commands) { return commands.checkOffline("{}"); }, {}), exit_code::Refused);
    EXPECT_TRUE(hasError("\"service\" of the answers is missing"));
}

TEST_F(OperatorCommandsTest, ListsAndAbortsRollouts)
{
    std::string const body
        = R"({"enabled":true,"rollouts":[{"service":"slots","order":41,"target_version":"v2","state":"rolled_back",)"
          R"("age_ms":3000,"duration_ms":12000,"fault":"failures","new":{"runs":90,"failures":9,"mean_ms":80.5}}],)"
          R"("versions":{"slots":{"v2":"held"}}})";
    EXPECT_EQ(run([](auto& commands) { return commands.rollouts(); }, { ok(body) }), exit_code::Success);
    EXPECT_EQ(m_output.str(),
        "slots to v2: rolled_back, 3000 of 12000 ms, failures\n  new: 90 runs, 9 failed, mean 80 ms\nslots v2: held\n");
    EXPECT_EQ(run([](auto& commands) { return commands.abortRollout("slots"); }, { ok(body) }), exit_code::Success);
    EXPECT_EQ(m_http.requests[0].method, "POST");
    EXPECT_EQ(m_http.requests[0].url, "http://10.0.0.1:80/rollouts/slots/abort");
    error const unknown { error_kind::NotFound, "no rollout of slots is under way", "" };
    EXPECT_EQ(
        run([](auto& commands) { return commands.abortRollout("slots"); }, { refused(unknown) }), exit_code::Refused);
    auto const none = ok(R"({"enabled":false,"rollouts":[],"versions":{}})");
    EXPECT_EQ(run([](auto& commands) { return commands.rollouts("slots"); }, { none }), exit_code::Success);
    EXPECT_EQ(m_output.str(), "rollouts are not enabled in this deployment\n");
}

TEST_F(OperatorCommandsTest, ListsAndLiftsCrashingRequests)
{
    auto const list = ok(R"({"requests":[{"request":"00000000deadbeef","standing":"blocked","crashes":3,)"
                         R"("tested_crashes":1,"blocked_ms":59000}]})");
    EXPECT_EQ(run([](auto& commands) { return commands.suspects(); }, { list }), exit_code::Success);
    EXPECT_EQ(m_output.str(), "00000000deadbeef blocked: 3 crashes, 1 of them in a trial; blocked for 59000 ms\n");
    EXPECT_EQ(run([](auto& commands) { return commands.lift("00000000deadbeef"); }, { ok(R"({"requests":[]})") }),
        exit_code::Success);
    EXPECT_EQ(m_http.requests[0].method, "DELETE");
    EXPECT_EQ(m_http.requests[0].url, "http://10.0.0.1:80/crashing-requests/00000000deadbeef");
    EXPECT_EQ(m_output.str(), "no request is suspected of crashing targets\n");
    error const unknown { error_kind::NotFound, "not suspected", "" };
    EXPECT_EQ(run([](auto& commands) { return commands.lift("00000000deadbeef"); }, { refused(unknown) }),
        exit_code::Refused);
}

TEST_F(OperatorCommandsTest, ExplainsWhereARequestWouldGo)
{
    auto const answer
        = ok(R"({"vm":"vm-a","zone":"a","version":7,"method":"GET","path":"/orders/7","tenant":"acme",)"
             R"("route":{"name":"orders","host":"shop.example","prefix":"/orders/","class":"interactive","priority":0,)"
             R"("idempotent":true,"bulk":false,"objective_ms":250,"timeout_ms":800,"maximum_attempts":2},)"
             R"("services":[{"service":"orders","weight":1,"deadline_ms":500,"objective_ms":250,"candidates":[)"
             R"({"target":"t1","vm":"vm-b","zone":"b","slots":6,"ejected":true,"expected_to_refuse":false,)"
             R"("outstanding":2,"expected_finish_ms":120,"cost":0.3,"load_permille":900,"load_age_ms":40},)"
             R"({"target":"t2","vm":"vm-a","zone":"a","slots":6,"ejected":false,"expected_to_refuse":true,)"
             R"("outstanding":0,"expected_finish_ms":90,"cost":0.1,"load_permille":null,"load_age_ms":null}],)"
             R"("choice":{"target":"t2","vm":"vm-a","zone":"a","reason":"the least cost"},"refusal":null,)"
             R"("admission":[{"target":"t2","verdict":"hold","standing":"in_time","wait_ms":30,"calls_ahead":2,)"
             R"("retry_after_ms":0,"order":"value"}]}],"not_known_here":["what others have sent"]})");
    explained_request request { .host = "shop.example", .path = "/orders/7", .tenant = "acme" };
    request.deadline = milliseconds(500);
    EXPECT_EQ(run([&](auto& commands) { return commands.explain(request); }, { answer }), exit_code::Success);
    EXPECT_EQ(m_http.requests[0].url,
        "http://10.0.0.1:80/explain?path=%2Forders%2F7&method=GET&host=shop.example&tenant=acme&deadline=500");
    EXPECT_EQ(m_output.str(),
        "daemon of vm-a, configuration version 7\n"
        "route orders: shop.example/orders/, priority 0, idempotent\n"
        "service orders, weight 1, deadline 500 ms, objective 250 ms\n"
        "    t1                        zone b, expected end 120 ms, load 900 permille, 40 ms old, 2 in flight from "
        "here, ejected after failures\n"
        "    t2                        zone a, expected end 90 ms, load not known, 0 in flight from here, lately "
        "refused such calls\n"
        "  would go to t2 on vm-a: the least cost\n"
        "    at t2: hold for about 30 ms, 2 calls ahead (in_time, order by value)\n"
        "not known here: what others have sent\n");
}

// Guards against a limit or a count that operators cannot find when clients report 429.
TEST_F(OperatorCommandsTest, ShowsTheTenantsAndOneOfThem)
{
    std::string const one = R"({"name":"hule930","priority":1,"rate":557.0,"burst":557.0,"allowed":812,"limited":31,)"
                            R"("own_demand":20.25,"fleet_demand":700.5,"share":0.03,"tokens":1.5})";
    std::string const plain = R"({"name":"vint","priority":null,"rate":0.0,"burst":0.0,"allowed":3,"limited":0,)"
                              R"("own_demand":0.0,"fleet_demand":null})";
    auto const list = ok(R"({"tenants":[)" + one + "," + plain + R"(],"adds_up_zone":false})");
    EXPECT_EQ(run([](auto& commands) { return commands.tenants(); }, { list }), exit_code::Success);
    EXPECT_EQ(m_output.str(),
        "hule930               limit 557.0 a second and 557.0 at once; 20.2 a second here, 700.5 at all daemons; 31 "
        "refused here\n"
        "vint                  no limit; 0.0 a second here, an unknown number at all daemons; 0 refused here\n");
    EXPECT_EQ(run([](auto& commands) { return commands.tenant("hule 930"); }, { ok(one) }), exit_code::Success);
    EXPECT_EQ(m_http.requests[0].url, "http://10.0.0.1:80/tenants/hule%20930");
    EXPECT_NE(m_output.str().find("31 here for the limit"), std::string::npos);
    EXPECT_NE(m_output.str().find("3.0 % of the limit"), std::string::npos);
    error const unknown { error_kind::NotFound, "no tenant", "" };
    EXPECT_EQ(run([](auto& commands) { return commands.tenant("none"); }, { refused(unknown) }), exit_code::Refused);
}

} // namespace merlinpier
