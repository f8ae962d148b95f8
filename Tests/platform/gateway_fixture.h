#pragma once

#include <LibCalls/attempt_identifier.h>
#include <Services/Daemon/target_gateway.h>
#include <Tests/LibLoop/loop_fixture.h>
#include <Tests/LibRouting/fleet_fixture.h>
#include <gtest/gtest.h>
#include <memory>
#include <platform/worker_dialect.h>
#include <string>

namespace merlinpier::platform::fixture {

constexpr std::uint64_t ownInstance = 1;

class unused_listener final : public hub_listener {
    void didReceiveControl(std::string const&, message) override { }
    void didFailToReachControl(std::string const&) override { }
    void didAcceptCalls(std::uint64_t, std::uint64_t) override { }
    void didReceiveFromOrigin(std::string const&, std::uint64_t, std::uint64_t, message) override { }
    void didReceiveFromTarget(std::string const&, message) override { }
    void didBecomeReadyForCalls(std::string const&, std::uint64_t, std::uint64_t) override { }
    void didBecomeUnreachableForCalls(std::string const&) override { }
};

// The gateway of one daemon with one target "t" of the service "slots", without a network: Target is an http_client
// that plays the target.
template <typename Target> class gateway_test : public testing::Test {
protected:
    gateway_test()
    {
        using namespace merlinpier::fixture;
        m_gateway.setConfiguration(makeConfiguration({ makeService("slots", { "L" }, 100) }));
        announce();
    }

    // Announces the target's incarnation with this start time.
    void announce(std::uint64_t startedAt = 0)
    {
        target_announcement announcement { "t", "slots", "L", "127.0.0.1:9000", target_state::Ready };
        announcement.startedAt = startedAt;
        EXPECT_FALSE(m_gateway.announce(announcement, 0).isError());
    }

    void call(std::string const& path = "/slots/1")
    {
        ++m_calls;
        call_request request;
        request.id = attempt_identifier { "call" + std::to_string(m_calls), m_calls, false }.text();
        request.instance = ownInstance;
        request.service = "slots";
        request.target = "t";
        request.entryPoint = "lookup";
        request.method = "GET";
        request.path = path;
        request.headers = { { "Attempt-Id", "a" + std::to_string(m_calls) } };
        request.isIdempotent = true;
        request.remainingMs = 500;
        m_gateway.didReceive(ownInstance, 1, request);
    }

    std::unique_ptr<event_loop> m_loop { merlinpier::fixture::makeLoop() };
    unused_listener m_listener;
    peer_hub m_hub { { "vm", "zone-a", "127.0.0.1:1", ownInstance }, m_listener };
    Target m_target { *m_loop };
    worker_dialect m_dialect;
    metrics m_metrics;
    std::shared_ptr<crashing_requests> m_crashing { std::make_shared<crashing_requests>() };
    target_gateway m_gateway { call_server_settings { .instance = ownInstance }, milliseconds(60000), m_crashing, m_hub,
        m_target, m_dialect, m_metrics };

private:
    std::size_t m_calls { 0 };
};

} // namespace merlinpier::platform::fixture
