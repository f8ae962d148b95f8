#include <Tests/StandIns/Target/target_process.h>

#include <LibCore/digest.h>
#include <absl/strings/match.h>
#include <absl/time/time.h>
#include <gtest/gtest.h>
#include <nlohmann/json.hpp>
#include <thread>

namespace merlinpier {

namespace {

using nlohmann::json;

// A daemon that takes announcements, and gives every other request to the test's target as its own daemon would.
class fake_daemon final : public http_handler {
public:
    fake_daemon()
        : m_server(http_server::tryCreate({}, *this).releaseValue())
    {
    }
    ~fake_daemon() override { m_server->stop(); }

    std::string address() const { return "127.0.0.1:" + std::to_string(m_server->port()); }

    void didReceiveRequest(http_request request, std::shared_ptr<http_responder> responder) override
    {
        mutex_lock lock(m_mutex);
        m_requests.push_back(std::move(request));
        m_changed.notifyAll();
        auto response = jsonResponse(200, R"({"link":"next"})");
        response.headers.push_back({ "Merlinpier-Outcome", "answered" });
        responder->respond(std::move(response));
    }

    // Waits for a request with the path whose body contains the text.
    http_request waitFor(std::string const& path, std::string const& text)
    {
        mutex_lock lock(m_mutex);
        while (true) {
            for (auto const& request : m_requests) {
                if (request.path == path && absl::StrContains(request.body, text))
                    return request;
            }
            m_changed.waitFor(m_mutex, absl::Seconds(1));
        }
    }

private:
    mutex m_mutex { lock_rank::Platform };
    condition m_changed;
    std::vector<http_request> m_requests ABSL_GUARDED_BY(m_mutex);
    // Last, so that it is destroyed before what it calls.
    std::unique_ptr<http_server> m_server;
};

class TargetProcessTest : public testing::Test {
protected:
    void start(target_settings settings = {})
    {
        settings.daemon = m_daemon.address();
        settings.id = "slots-1";
        settings.service = "slots";
        settings.licence = "L-1";
        m_target = target_process::tryCreate(std::move(settings)).releaseValue();
    }

    http_client_request request(std::string const& path, std::vector<http_field> headers, std::string body = "x")
    {
        http_client_request request;
        request.method = "POST";
        request.url = "http://" + m_target->address() + path;
        request.headers = std::move(headers);
        request.body = std::move(body);
        request.reuse = connection_reuse::Forbidden;
        return request;
    }

    http_response send(std::string const& path, std::vector<http_field> headers, std::string body = "x")
    {
        return sendAndWait(*m_client, request(path, std::move(headers), std::move(body))).releaseValue();
    }

    void waitForState(std::string const& requestId, run_state state)
    {
        auto const isThere = [&] {
            for (auto const& entry : m_target->ledger().entries()) {
                if (entry.requestId == requestId && entry.state == state)
                    return true;
            }
            return false;
        };
        while (!isThere())
            std::this_thread::sleep_for(milliseconds(1));
    }

    fake_daemon m_daemon;
    std::unique_ptr<http_client> m_client { http_client::create() };
    std::unique_ptr<target_process> m_target;
};

constexpr char const* longWorkMs = "60000";

} // namespace

TEST_F(TargetProcessTest, AnswersForTheRequestThatItRan)
{
    start();
    auto const response = send("/slots/5?x=1", { { "Request-Id", "r1" }, { "Merlinpier-Call-Id", "c1" } }, "body");
    auto const body = json::parse(response.body);
    EXPECT_EQ(response.status, 200);
    EXPECT_EQ(body["target"], "slots-1");
    EXPECT_EQ(body["call_id"], "c1");
    EXPECT_EQ(body["path"], "/slots/5?x=1");
    EXPECT_EQ(body["body_digest"], contentDigest("body"));
}

TEST_F(TargetProcessTest, ListsEveryRunInItsLedgerDuplicatesIncluded)
{
    start();
    for (int i = 0; i < 2; ++i)
        send("/slots", { { "Request-Id", "r1" }, { "Merlinpier-Call-Id", "c1" } });
    ledger_entry const expected { "c1", "r1", "POST", "/slots", run_state::Finished };
    EXPECT_EQ(m_target->ledger().entries(), (std::vector { expected, expected }));
    http_client_request ledger;
    ledger.url = "http://" + m_target->address() + "/ledger";
    auto const answer = json::parse(sendAndWait(*m_client, ledger).releaseValue().body);
    ASSERT_EQ(answer["ran"].size(), 2U);
    EXPECT_EQ(answer["ran"][1]["state"], "finished");
}

TEST_F(TargetProcessTest, ShedsAboveItsSlotsAndVouchesForIt)
{
    target_settings settings;
    settings.slots = 1;
    start(settings);
    m_client->send(request("/slots", { { "Request-Id", "first" }, { "Work-Ms", longWorkMs } }), [](auto) {});
    waitForState("first", run_state::Running);
    auto const shed = send("/slots", { { "Request-Id", "second" } });
    EXPECT_EQ(shed.status, 503);
    EXPECT_EQ(shed.header("Merlinpier-Not-Run"), "true");
    EXPECT_EQ(m_target->ledger().entries().size(), 1U);
}

TEST_F(TargetProcessTest, NamesItsLimitAndDepartureInEveryAnswer)
{
    target_settings settings;
    settings.slots = 1;
    settings.requestLimit = 20;
    start(settings);
    auto const limited = send("/slots", { { "Request-Id", "r1" } });
    EXPECT_EQ(limited.header("Merlinpier-Request-Limit"), std::to_string(20.0));
    EXPECT_EQ(limited.header("Merlinpier-Leaving"), std::nullopt);
    auto notice = request("/notice", {});
    notice.method = "POST";
    notice.body = R"({"leaving":true})";
    ASSERT_EQ(sendAndWait(*m_client, notice).releaseValue().status, 200);
    m_client->send(request("/slots", { { "Request-Id", "r2" }, { "Work-Ms", longWorkMs } }), [](auto) {});
    waitForState("r2", run_state::Running);
    auto const shed = send("/slots", { { "Request-Id", "r3" } });
    EXPECT_EQ(shed.header("Merlinpier-Request-Limit"), std::nullopt);
    EXPECT_EQ(shed.header("Merlinpier-Leaving"), "true");
}

TEST_F(TargetProcessTest, CancelsWhenTheConnectionCloses)
{
    target_settings settings;
    settings.slots = 1;
    start(settings);
    auto const id
        = m_client->send(request("/slots", { { "Request-Id", "r1" }, { "Work-Ms", longWorkMs } }), [](auto) {});
    waitForState("r1", run_state::Running);
    m_client->cancel(id);
    waitForState("r1", run_state::Cancelled);
    while (send("/slots", { { "Request-Id", "r2" } }).status != 200)
        std::this_thread::sleep_for(milliseconds(1));
}

TEST_F(TargetProcessTest, HonoursDeadlines)
{
    start();
    auto const late = send("/slots", { { "Request-Id", "r1" }, { "Merlinpier-Deadline-Ms", "0" } });
    EXPECT_EQ(late.header("Merlinpier-Not-Run"), "true");
    EXPECT_TRUE(m_target->ledger().entries().empty());
    auto const cutOff
        = send("/slots", { { "Request-Id", "r2" }, { "Merlinpier-Deadline-Ms", "20" }, { "Work-Ms", longWorkMs } });
    EXPECT_EQ(cutOff.status, 504);
    EXPECT_EQ(m_target->ledger().entries().at(0).state, run_state::Cancelled);
}

TEST_F(TargetProcessTest, CallsOnThroughItsDaemon)
{
    start();
    auto const response = send("/slots",
        { { "Request-Id", "r1" }, { "Call-Next", "/call/bookings/a,/call/slots/b" }, { "Merlinpier-Hops", "3" },
            { "Merlinpier-Deadline-Ms", "5000" } });
    EXPECT_EQ(json::parse(response.body)["next"]["answer"]["link"], "next");
    auto const next = m_daemon.waitFor("/call/bookings/a", "x");
    EXPECT_EQ(next.method, "POST");
    EXPECT_EQ(next.header("Request-Id"), "r1.n");
    EXPECT_EQ(next.header("Call-Next"), "/call/slots/b");
    EXPECT_EQ(next.header("Merlinpier-Hops"), "3");
    EXPECT_EQ(next.header("Merlinpier-Caller"), "slots");
    EXPECT_LE(std::stol(next.header("Merlinpier-Deadline-Ms").value_or("9999")), 5000);
}

TEST_F(TargetProcessTest, AnnouncesItselfAgainAndAgain)
{
    start();
    auto const announced = json::parse(m_daemon.waitFor("/targets/announce", "ready").body);
    EXPECT_EQ(announced["id"], "slots-1");
    EXPECT_EQ(announced["licence"], "L-1");
    EXPECT_EQ(announced["address"], m_target->address());
}

TEST_F(TargetProcessTest, StartsColdBeforeItIsReady)
{
    target_settings settings;
    settings.coldStart = milliseconds(50);
    start(settings);
    m_daemon.waitFor("/targets/announce", "starting");
    m_daemon.waitFor("/targets/announce", "ready");
    EXPECT_EQ(send("/slots", {}).status, 200);
}

TEST_F(TargetProcessTest, FinishesCallsUnderWayBeforeItLeaves)
{
    start();
    int status = 0;
    m_client->send(request("/slots", { { "Request-Id", "r1" }, { "Work-Ms", "100" } }),
        [&](auto const& outcome) { status = outcome.isError() ? 0 : outcome.value().status; });
    waitForState("r1", run_state::Running);
    m_target->stopGracefully();
    EXPECT_EQ(m_target->ledger().entries().at(0).state, run_state::Finished);
    m_daemon.waitFor("/targets/slots-1/drain", "");
    m_daemon.waitFor("/targets/slots-1/leave", "");
    m_client.reset();
    EXPECT_EQ(status, 200);
}

TEST_F(TargetProcessTest, LiesAboutHealthAndLoad)
{
    target_settings settings;
    settings.honesty = endpoint_honesty::Lying;
    start(settings);
    EXPECT_EQ(send("/health", {}).status, 503);
    EXPECT_EQ(json::parse(send("/load", {}).body)["running"], 6);
}

} // namespace merlinpier
