#include <LibCore/digest.h>
#include <Utilities/Load/arrival_schedule.h>
#include <Utilities/Load/history_checker.h>
#include <Utilities/Load/latency_summary.h>
#include <Utilities/Load/load_report.h>
#include <Utilities/Load/load_session.h>

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

namespace merlinpier {

namespace {

using nlohmann::json;

planned_call plan(call_shape const& shape = {}, call_route route = call_route::ThroughDaemon)
{
    mix_entry const entry { "bookings", "POST", "/bookings/{booking}", false };
    return call_planner(request_mix::tryCreate(std::vector { entry }).releaseValue(), shape, "run", 1).next(route);
}

json targetAnswer(planned_call const& call)
{
    return { { "method", call.entry.method }, { "path", call.path }, { "request_id", call.requestId },
        { "body_digest", contentDigest(call.body) } };
}

http_response daemonAnswer(json const& body) { return { 200, { { "Merlinpier-Outcome", "answered" } }, body.dump() }; }

call_record record(std::string requestId, caller_outcome outcome, bool isIdempotent = false)
{
    call_record call;
    call.requestId = std::move(requestId);
    call.outcome = outcome;
    call.isIdempotent = isIdempotent;
    return call;
}

} // namespace

TEST(ArrivalSchedule, GivesTheRateAndRepeatsItself)
{
    for (auto const spread : { arrival_spread::Random, arrival_spread::Even }) {
        arrival_schedule first(1000, seconds(10), spread, 7);
        arrival_schedule second(1000, seconds(10), spread, 7);
        duration last { -1 };
        int count = 0;
        while (auto const at = first.next()) {
            EXPECT_GE(*at, last);
            EXPECT_EQ(second.next(), at);
            last = *at;
            ++count;
        }
        EXPECT_LT(last, seconds(10));
        EXPECT_NEAR(count, 10'000, 400);
    }
}

TEST(RequestMix, TakesTheEntryPointsOfTheExamples)
{
    load_options options;
    for (char const* name : { "targowisko/slots", "targowisko/bookings", "steadyhand/jobdesk" })
        options.mixFiles.push_back(std::string(MERLINPIER_SOURCE_DIR) + "/examples/" + name + ".json");
    auto const mix = loadMix(options);
    ASSERT_FALSE(mix.isError()) << mix.failure().text();
    generator source(1);
    std::set<std::string> services;
    for (int i = 0; i < 200; ++i)
        services.insert(mix.value().draw(source).service);
    EXPECT_EQ(services, (std::set<std::string> { "slots", "bookings", "jobdesk" }));
    options.mixFiles = { "no-such-file" };
    EXPECT_EQ(loadMix(options).failure().kind, error_kind::BadInput);
}

TEST(CallPlanner, GivesEachCallItsOwnIdentifierAndBody)
{
    mix_entry const entry { "bookings", "POST", "/halls/{hall}/x", false };
    auto const mix = request_mix::tryCreate(std::vector { entry }).releaseValue();
    call_planner planner(mix, { .depth = 3, .bodyBytes = 100 }, "run", 1);
    auto const first = planner.next(call_route::ThroughDaemon);
    auto const second = planner.next(call_route::Direct);
    EXPECT_NE(first.requestId, second.requestId);
    EXPECT_NE(first.body, second.body);
    EXPECT_EQ(first.body.size(), 100U);
    EXPECT_EQ(first.path.find('{'), std::string::npos);
    auto const request = makeRequest(first, "127.0.0.1:1");
    EXPECT_EQ(request.url, "http://127.0.0.1:1/call/bookings" + first.path);
    EXPECT_EQ(request.reuse, connection_reuse::Forbidden);
    EXPECT_EQ(request.headers.back(),
        (http_field { "Call-Next", "/call/bookings" + first.path + ",/call/bookings" + first.path }));
    EXPECT_EQ(makeRequest(second, "127.0.0.1:1").url, "http://127.0.0.1:1" + second.path);
}

TEST(AnswerJudge, TakesOnlyTheAnswerToThisRequest)
{
    auto const call = plan();
    EXPECT_EQ(judgeAnswer(call, daemonAnswer(targetAnswer(call))), caller_outcome::Answered);
    for (char const* key : { "method", "path", "request_id", "body_digest" }) {
        auto crossed = targetAnswer(call);
        crossed[key] = "of another request";
        EXPECT_EQ(judgeAnswer(call, daemonAnswer(crossed)), caller_outcome::WrongAnswer) << key;
    }
    EXPECT_EQ(judgeAnswer(call, daemonAnswer("no object")), caller_outcome::WrongAnswer);
}

TEST(AnswerJudge, ChecksEveryLinkOfAChain)
{
    auto const call = plan({ .depth = 2 });
    auto answer = targetAnswer(call);
    EXPECT_EQ(judgeAnswer(call, daemonAnswer(answer)), caller_outcome::WrongAnswer);
    auto link = targetAnswer(call);
    link["request_id"] = call.requestId + ".n";
    answer["next"] = { { "answer", link } };
    EXPECT_EQ(judgeAnswer(call, daemonAnswer(answer)), caller_outcome::Answered);
    answer["next"]["answer"]["body_digest"] = "of another request";
    EXPECT_EQ(judgeAnswer(call, daemonAnswer(answer)), caller_outcome::WrongAnswer);
}

TEST(AnswerJudge, TellsTypedOutcomesApart)
{
    auto const call = plan();
    auto const typed = [&](int status, char const* outcome) {
        return judgeAnswer(call, http_response { status, { { "Merlinpier-Outcome", outcome } }, "{}" });
    };
    EXPECT_EQ(typed(503, "not-run"), caller_outcome::NotRun);
    EXPECT_EQ(typed(504, "unknown"), caller_outcome::Unknown);
    EXPECT_EQ(typed(500, "answered"), caller_outcome::Failed);
    EXPECT_EQ(judgeAnswer(call, http_response { 200, {}, "{}" }), caller_outcome::Failed);
    EXPECT_EQ(judgeAnswer(call, error { error_kind::Unavailable, "", "" }), caller_outcome::Failed);
    EXPECT_EQ(judgeAnswer(call, error { error_kind::OutcomeUnknown, "", "" }), caller_outcome::Cut);
    auto const direct = plan({}, call_route::Direct);
    EXPECT_EQ(
        judgeAnswer(direct, http_response { 503, { { "Merlinpier-Not-Run", "true" } }, "{}" }), caller_outcome::NotRun);
}

TEST(HistoryChecker, FindsDoubledRunsOfNonIdempotentRequestsAlone)
{
    std::vector const history { record("a", caller_outcome::Answered), record("b", caller_outcome::Answered, true),
        record("c", caller_outcome::Unknown), record("d", caller_outcome::Answered) };
    auto const findings = checkHistory(history, { "a", "a", "b", "b", "c", "d", "d.n", "d.n" });
    EXPECT_EQ(findings.doubled, 2U);
    EXPECT_EQ(findings.falseNotRun, 0U);
    EXPECT_EQ(findings.answeredWithoutRun, 0U);
    EXPECT_EQ(findings.examples, (std::vector<std::string> { "a", "d" }));
}

TEST(HistoryChecker, FindsRunsOfRequestsCalledNotRun)
{
    std::vector const history { record("a", caller_outcome::NotRun), record("b", caller_outcome::NotRun, true),
        record("c", caller_outcome::NotRun), record("d", caller_outcome::Unknown),
        record("e", caller_outcome::Answered) };
    auto const findings = checkHistory(history, { "a", "b", "d" });
    EXPECT_EQ(findings.falseNotRun, 2U);
    EXPECT_EQ(findings.doubled, 0U);
    EXPECT_EQ(findings.answeredWithoutRun, 1U);
}

TEST(LatencySummary, TakesTheNearestRank)
{
    std::vector<duration> samples;
    for (int i = 1000; i > 0; --i)
        samples.push_back(milliseconds(i));
    EXPECT_EQ(summarizeLatencies(samples), (latency_summary { 500, 900, 990, 999, 1000 }));
    EXPECT_EQ(summarizeLatencies({ milliseconds(3) }), (latency_summary { 3, 3, 3, 3, 3 }));
    EXPECT_EQ(summarizeLatencies({}), latency_summary {});
}

TEST(LoadReport, CountsByOutcomeAndKeepsRoutesApart)
{
    load_report report;
    report.history = { record("a", caller_outcome::Answered), record("b", caller_outcome::Cut),
        record("c", caller_outcome::NotRun), record("d", caller_outcome::Answered) };
    report.history[0].attempts = 3;
    report.history[3].route = call_route::Direct;
    report.lengthSeconds = 1;
    auto const document = json::parse(reportJson(report));
    EXPECT_EQ(document["calls"], 3);
    EXPECT_EQ(document["answered"], 1);
    EXPECT_EQ(document["cut"], 1);
    EXPECT_EQ(document["not_run"], 1);
    EXPECT_EQ(document["retries"], 2);
    EXPECT_EQ(document["direct"]["calls"], 1);
    for (char const* key : { "unknown", "failed", "wrong_answer", "doubled", "false_not_run", "p50_ms", "p90_ms",
             "p99_ms", "p999_ms", "max_ms", "rate", "seconds", "seed" })
        EXPECT_TRUE(document.contains(key)) << key;
}

} // namespace merlinpier
