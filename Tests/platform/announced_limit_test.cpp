#include <Services/Daemon/target_gateway.h>
#include <Tests/LibLoop/loop_fixture.h>
#include <Tests/LibRouting/fleet_fixture.h>
#include <gtest/gtest.h>
#include <memory>
#include <platform/worker_dialect.h>
#include <string>
#include <vector>

// A target in need names in its answers how many requests a second it takes from all VMs together, and a target that
// leaves says so in its answers.

namespace merlinpier::platform {

namespace {

constexpr std::uint64_t ownInstance = 1;
constexpr double limitPerSecond = 20;
constexpr milliseconds callPeriod { 10 };
constexpr milliseconds callTime { 2500 };
// What a target may get: one and a half times its limit, and five requests.
constexpr double allowedFactor = 1.5;
constexpr double allowedExtra = 5;

class unused_listener final : public hub_listener {
    void didReceiveControl(std::string const&, message) override { }
    void didFailToReachControl(std::string const&) override { }
    void didAcceptCalls(std::uint64_t, std::uint64_t) override { }
    void didReceiveFromOrigin(std::string const&, std::uint64_t, std::uint64_t, message) override { }
    void didReceiveFromTarget(std::string const&, message) override { }
    void didBecomeReadyForCalls(std::string const&, std::uint64_t, std::uint64_t) override { }
    void didBecomeUnreachableForCalls(std::string const&) override { }
};

// Answers every request at once, with the headers that the target adds to its answers.
class answering_target final : public http_client {
public:
    explicit answering_target(event_loop& loop)
        : m_loop(loop)
    {
    }
    http_exchange_id send(http_client_request request, http_callback callback) override
    {
        ++requests;
        http_response response { 200, { { "Attempt-Id", request.echo->value }, { "Response-Signature", "s" } },
            "body" };
        response.headers.insert(response.headers.end(), added.begin(), added.end());
        m_loop.post([callback = std::move(callback), response] { callback(response); });
        return requests;
    }
    void cancel(http_exchange_id) override { }

    std::size_t requests { 0 };
    std::vector<http_field> added;

private:
    event_loop& m_loop;
};

class AnnouncedLimitTest : public testing::Test {
protected:
    AnnouncedLimitTest()
    {
        m_gateway.setConfiguration(fixture::makeConfiguration({ fixture::makeService("slots", { "L" }, 100) }));
        target_announcement const announcement { "t", "slots", "L", "127.0.0.1:9000", target_state::Ready };
        EXPECT_FALSE(m_gateway.announce(announcement, 0).isError());
    }

    void call()
    {
        ++m_calls;
        call_request request;
        request.id = attempt_identifier { "call" + std::to_string(m_calls), m_calls, false }.text();
        request.instance = ownInstance;
        request.service = "slots";
        request.target = "t";
        request.entryPoint = "lookup";
        request.method = "GET";
        request.path = "/slots/1";
        request.headers = { { "Attempt-Id", "a" + std::to_string(m_calls) } };
        request.isIdempotent = true;
        request.remainingMs = 500;
        m_gateway.didReceive(ownInstance, 1, request);
    }

    void callFor(milliseconds time)
    {
        auto const calls = m_loop->subscribe(callPeriod, [this] { call(); });
        auto const ticks = m_loop->subscribe(callPeriod, [this] { m_gateway.tick(); });
        auto const end = currentTime() + time;
        EXPECT_TRUE(fixture::runUntil(*m_loop, [&] { return currentTime() >= end; }));
        m_loop->cancel(calls);
        m_loop->cancel(ticks);
    }

    std::unique_ptr<event_loop> m_loop { fixture::makeLoop() };
    unused_listener m_listener;
    peer_hub m_hub { { "vm", "zone-a", "127.0.0.1:1", ownInstance }, m_listener };
    answering_target m_target { *m_loop };
    worker_dialect m_dialect;
    metrics m_metrics;
    target_gateway m_gateway { call_server_settings { .instance = ownInstance }, milliseconds(60000),
        std::make_shared<crashing_requests>(), m_hub, m_target, m_dialect, m_metrics };

private:
    std::size_t m_calls { 0 };
};

} // namespace

// Guards against a target that gets far more requests than the limit that it has named.
TEST_F(AnnouncedLimitTest, GivesATargetNoMoreThanItsLimitAllows)
{
    m_target.added = { { "Server-Limit", "20.0" } };
    callFor(callTime);
    double const limit = limitPerSecond * std::chrono::duration<double>(callTime).count();
    EXPECT_LE(m_target.requests, allowedFactor * limit + allowedExtra);
    EXPECT_GE(m_target.requests, 0.8 * limit);
}

// Guards against new work for a target that has said in an answer that it leaves.
TEST_F(AnnouncedLimitTest, GivesATargetThatIsLeavingNoNewCalls)
{
    m_target.added = { { "Server-Leaving", "1" } };
    callFor(milliseconds(100));
    auto const requests = m_target.requests;
    callFor(milliseconds(300));
    EXPECT_EQ(m_target.requests, requests);
}

} // namespace merlinpier::platform
