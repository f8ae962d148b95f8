#include <LibCalls/call_client.h>
#include <Tests/LibRouting/fleet_fixture.h>

#include <gtest/gtest.h>

namespace merlinpier {

namespace {

constexpr auto start = time_point(seconds(1000));

class RetryWorthTest : public testing::Test {
protected:
    RetryWorthTest()
    {
        auto const configuration = fixture::makeConfiguration({ fixture::makeService("slots", { "L1", "L2" }) });
        membership_table members;
        for (std::string const name : { "1", "2" })
            members.merge(fixture::makeMember(
                "vm" + name, "a", 1, { { "t" + name, "slots", "L" + name, 1, target_state::Ready, 6 } }));
        m_snapshot = routing_snapshot::build(configuration, members);
    }

    std::unique_ptr<call_client> makeClient(order_choice order) const
    {
        chooser_settings chooser;
        chooser.zone = "a";
        chooser.policy = choice_policy::ExpectedFinish;
        chooser.probes = 0;
        call_client_settings settings;
        settings.order = order;
        auto client = std::make_unique<call_client>(settings, chooser);
        client->setSnapshot(m_snapshot, start);
        return client;
    }

    static caller_request makeRequest(std::string id, std::string tenant)
    {
        caller_request request;
        request.id = std::move(id);
        request.service = "slots";
        request.method = "GET";
        request.path = "/slots/7";
        request.tenant = std::move(tenant);
        call_policy policy;
        policy.name = "route";
        policy.isIdempotent = true;
        policy.timeout = milliseconds(300);
        policy.latencyObjective = milliseconds(100);
        request.policy = policy;
        return request;
    }

    // Whether a call that one target refuses for overload is sent to the other one, when calls take this long.
    bool isRetried(order_choice order, std::string const& tenant, milliseconds work)
    {
        auto const owned = makeClient(order);
        auto& client = *owned;
        auto const sample = std::get<dispatch_call>(client.start(makeRequest("sample", tenant), start, m_random)[0]);
        client.didSend(sample.call.id, sample.address, 1, start);
        call_answer answer;
        answer.id = sample.call.id;
        answer.status = 200;
        answer.serviceUs = static_cast<std::uint32_t>(microseconds(work).count());
        client.didReceive(sample.address, answer, start, m_random);
        auto const sent = std::get<dispatch_call>(client.start(makeRequest("call", tenant), start, m_random)[0]);
        client.didSend(sent.call.id, sent.address, 1, start);
        call_refused const refused { sent.call.id, refusal_reason::Overloaded, 50, 1000 };
        for (auto const& action : client.didReceive(sent.address, refused, start, m_random)) {
            if (std::holds_alternative<dispatch_call>(action))
                return true;
        }
        return false;
    }

    std::shared_ptr<routing_snapshot const> m_snapshot;
    generator m_random { 7 };
};

} // namespace

// Load: all targets are near their capacity. An attempt elsewhere that would end late takes a place from a call that
// can be in time.
TEST_F(RetryWorthTest, SendsNoTenantsCallToEndLateInAnotherQueue)
{
    EXPECT_TRUE(isRetried(order_choice::Automatic, "acme", milliseconds(90)));
    EXPECT_FALSE(isRetried(order_choice::Automatic, "acme", milliseconds(180)));
    EXPECT_FALSE(isRetried(order_choice::Value, "", milliseconds(180)));
}

// Failure: a deployment without tenants retries other calls than before.
TEST_F(RetryWorthTest, RetriesAsBeforeWithoutTheServiceOrder)
{
    EXPECT_TRUE(isRetried(order_choice::Automatic, "", milliseconds(180)));
    EXPECT_TRUE(isRetried(order_choice::Deadline, "acme", milliseconds(180)));
}

} // namespace merlinpier
