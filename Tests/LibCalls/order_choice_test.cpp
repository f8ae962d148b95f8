#include <LibCalls/call_server.h>
#include <Tests/LibRouting/fleet_fixture.h>

#include <gtest/gtest.h>

namespace merlinpier {

namespace {

constexpr std::uint64_t serverInstance = 7;
constexpr auto start = time_point(seconds(100));

class OrderChoiceTest : public testing::Test {
protected:
    OrderChoiceTest()
    {
        target_announcement announcement { "t", "slots", "L1", "127.0.0.1:9000", target_state::Ready };
        announcement.slots = 1;
        EXPECT_FALSE(m_targets.announce(announcement, 0, start).isError());
    }

    static call_server makeServer(order_choice order)
    {
        call_server_settings settings;
        settings.instance = serverInstance;
        settings.order = order;
        call_server server(settings);
        server.raiseFence({ 1, 1 }, start);
        return server;
    }

    // Sends two calls while another one runs, the later one with the more urgent tenant; returns which runs first.
    std::string firstServed(call_server& server, std::string const& tenant)
    {
        receive(server, 1, tenant, 0);
        receive(server, 2, tenant, 1);
        receive(server, 3, tenant, 0);
        for (auto const& action : server.didFinish("call1", {}, start)) {
            if (auto const* run = std::get_if<run_call>(&action))
                return run->call.id;
        }
        return {};
    }

    void receive(call_server& server, int number, std::string const& tenant, std::uint32_t tenantPriority)
    {
        call_request call;
        call.id
            = attempt_identifier { "call" + std::to_string(number), static_cast<std::uint64_t>(number), false }.text();
        call.instance = serverInstance;
        call.generation = 1;
        call.service = "slots";
        call.target = "t";
        call.entryPoint = "lookup";
        call.remainingMs = 10000;
        call.tenant = tenant;
        if (!tenant.empty())
            call.tenantPriority = tenantPriority;
        server.didReceiveCall({ 1, 1 }, call, m_targets, *m_configuration, start);
    }

    local_targets m_targets;
    std::shared_ptr<configuration_set const> m_configuration = [] {
        auto service = fixture::makeService("slots", { "L1" }, 1);
        service.queueLimit = 4;
        return fixture::makeConfiguration({ service });
    }();
};

} // namespace

// Failure: a deployment without tenants and paces gets another order than before.
TEST_F(OrderChoiceTest, FollowsTheServiceOrderOnlyWhereCallsNameTenants)
{
    auto automatic = makeServer(order_choice::Automatic);
    EXPECT_EQ(firstServed(automatic, "acme"), "call3");
    EXPECT_EQ(automatic.loads(start).at("t").order, admission_order::ServiceOrder);
    auto without = makeServer(order_choice::Automatic);
    EXPECT_EQ(firstServed(without, ""), "call2");
    EXPECT_EQ(without.loads(start).at("t").order, admission_order::ObjectiveFirst);
}

TEST_F(OrderChoiceTest, FollowsTheServiceOrderWhereTheTargetAnnouncesItsPace)
{
    auto automatic = makeServer(order_choice::Automatic);
    automatic.didAnnouncePace("t", 100, start);
    firstServed(automatic, "");
    EXPECT_EQ(automatic.loads(start).at("t").order, admission_order::ServiceOrder);
}

TEST_F(OrderChoiceTest, FollowsTheOperatorsChoice)
{
    auto deadline = makeServer(order_choice::Deadline);
    deadline.didAnnouncePace("t", 100, start);
    EXPECT_EQ(firstServed(deadline, "acme"), "call2");
    EXPECT_EQ(deadline.loads(start).at("t").order, admission_order::ObjectiveFirst);
    auto value = makeServer(order_choice::Value);
    firstServed(value, "");
    EXPECT_EQ(value.loads(start).at("t").order, admission_order::ServiceOrder);
}

} // namespace merlinpier
