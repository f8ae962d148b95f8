#include <Tests/platform/gateway_fixture.h>

#include <LibCalls/request_fingerprint.h>
#include <algorithm>
#include <map>

// The target's process ends while requests run there, or breaks off an answer without ending.

namespace merlinpier::platform {

namespace {

constexpr milliseconds settleTime { 30 };

// Holds every request until the test ends it. Once the process has ended, connections are refused.
class mortal_target final : public http_client {
public:
    explicit mortal_target(event_loop& loop)
        : m_loop(loop)
    {
    }
    http_exchange_id send(http_client_request, http_callback callback) override
    {
        ++requests;
        if (hasEnded)
            m_loop.post([callback] { callback(error { error_kind::Unavailable, "refused", "" }); });
        else
            m_running[requests] = std::move(callback);
        return requests;
    }
    void cancel(http_exchange_id) override { }
    void checkListener(std::string const&, milliseconds, listener_callback callback) override
    {
        ++checks;
        m_loop.post([this, callback] { callback(hasEnded ? listener_state::Refusing : listener_state::Listening); });
    }
    void breakAll()
    {
        for (auto const& [id, callback] : std::exchange(m_running, {}))
            callback(error { error_kind::ConnectionLost, "closed", "" });
    }

    std::size_t requests { 0 };
    std::size_t checks { 0 };
    bool hasEnded { false };

private:
    event_loop& m_loop;
    std::map<std::size_t, http_callback> m_running;
};

class CrashedTargetTest : public fixture::gateway_test<mortal_target> {
protected:
    void settle()
    {
        auto const end = currentTime() + settleTime;
        EXPECT_TRUE(merlinpier::fixture::runUntil(*m_loop, [&] { return currentTime() >= end; }));
    }
    request_standing standing(std::string const& path) const
    {
        return m_crashing->standing(requestFingerprint("", path, ""), currentTime());
    }
    target_state state() const { return m_gateway.records().at(0).state; }
};

} // namespace

TEST_F(CrashedTargetTest, SuspectsWhatRanWhenItsProcessEnded)
{
    call("/one");
    call("/two");
    m_target.hasEnded = true;
    m_target.breakAll();
    settle();
    EXPECT_EQ(m_target.checks, 1u);
    EXPECT_EQ(standing("/one"), request_standing::Suspect);
    EXPECT_EQ(standing("/two"), request_standing::Suspect);
}

// Guards the innocent: an answer that is lost on the way, or a connection that is reset, is no crash.
TEST_F(CrashedTargetTest, SuspectsNothingWhenItsProcessGoesOn)
{
    call("/one");
    m_target.breakAll();
    settle();
    EXPECT_EQ(m_target.checks, 1u);
    EXPECT_EQ(standing("/one"), request_standing::Clear);
    EXPECT_EQ(state(), target_state::Ready);
}

TEST_F(CrashedTargetTest, SuspectsNothingWhenItWasLeaving)
{
    call("/one");
    EXPECT_FALSE(m_gateway.retire("t").isError());
    m_target.hasEnded = true;
    m_target.breakAll();
    settle();
    EXPECT_EQ(standing("/one"), request_standing::Clear);
}

TEST_F(CrashedTargetTest, DoesNotRunABlockedRequest)
{
    for (std::uint64_t start = 1; start <= 2; ++start) {
        m_target.hasEnded = false;
        announce(start);
        call("/one");
        m_target.hasEnded = true;
        m_target.breakAll();
        settle();
    }
    EXPECT_EQ(standing("/one"), request_standing::Blocked);
    m_target.hasEnded = false;
    announce(3);
    auto const before = m_target.requests;
    call("/one");
    EXPECT_EQ(m_target.requests, before);
    call("/two");
    EXPECT_EQ(m_target.requests, before + 1);
}

// Guards against callers that are sent to a target that has ended until its lease expires.
TEST_F(CrashedTargetTest, IsNotCalledUntilItAnnouncesItselfAgain)
{
    m_target.hasEnded = true;
    call("/one");
    settle();
    EXPECT_EQ(state(), target_state::Starting);
    auto const before = m_target.requests;
    call("/two");
    EXPECT_EQ(m_target.requests, before);
    m_target.hasEnded = false;
    announce(2);
    EXPECT_EQ(state(), target_state::Ready);
    call("/two");
    EXPECT_EQ(m_target.requests, before + 1);
}

// Trials run one at a time, so that a crash tells which of the suspects has caused it.
TEST_F(CrashedTargetTest, RunsOneSuspectAtATime)
{
    call("/one");
    call("/two");
    m_target.hasEnded = true;
    m_target.breakAll();
    settle();
    m_target.hasEnded = false;
    announce(2);
    auto const before = m_target.requests;
    call("/one");
    call("/two");
    call("/three");
    EXPECT_EQ(m_target.requests, before + 2);
    m_target.hasEnded = true;
    m_target.breakAll();
    settle();
    EXPECT_EQ(standing("/one"), request_standing::Blocked);
    EXPECT_EQ(standing("/two"), request_standing::Suspect);
}

} // namespace merlinpier::platform
