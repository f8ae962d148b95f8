#include "emulated_store.h"

#include <LibDistribution/distributor.h>
#include <LibMembership/member_registry.h>
#include <algorithm>
#include <deque>
#include <gtest/gtest.h>
#include <memory>
#include <optional>
#include <platform/platform_store.h>

// Random histories of an operator, the store and daemons that read it, with restores from a copy, compaction, outages
// and lost answers, against what must hold whatever happens: the versions of a daemon only rise, a version that the
// operator has written is in force everywhere in time, and an unchanged store costs few calls.

namespace merlinpier::platform {

namespace {

constexpr std::size_t daemonCount = 4;
constexpr milliseconds step { 100 };
constexpr seconds timeUntilInForce { 2 };
constexpr int histories = 60;
constexpr int stepsPerHistory = 200;
// Twice what a watch and a read cost at the mean back-off of half a second that follows a gap in the history.
constexpr std::size_t callsPerSecond = 8;

nlohmann::json configurationOf(version_number version)
{
    char digits[9];
    std::snprintf(digits, sizeof(digits), "%08x", static_cast<unsigned>(version));
    return { { "version", digits }, { "routes", nlohmann::json::array() },
        { "services", { { { "name", "slots" }, { "max_connections", version } } } } };
}

// A daemon's way from the store to the version in force, without peers.
class store_reader {
public:
    explicit store_reader(fixture::emulated_store& emulated)
        : m_store(emulated, "10.0.0.9:1")
        , m_distributor([] {
            distribution_settings settings;
            settings.platformCallsPerMinute = 100'000;
            settings.longestBackOff = milliseconds(1000);
            settings.watchDelayAfterChange = milliseconds(300);
            return settings;
        }())
    {
        distribution_peers peers;
        peers.isRelay = true;
        m_distributor.setPeers(peers);
    }

    void tick(time_point now, generator& source)
    {
        // A watch that ends at once is followed by the next one only after a step, as it would wait otherwise.
        for (auto const& watch : std::exchange(m_watches, {})) {
            std::vector<distribution_action> next;
            m_store.watch(headKey, watch.afterRevision, watch.wait,
                [&](auto const& outcome) { next = m_distributor.didWatchPlatform(outcome, now, source); });
            perform(next, now, source);
        }
        perform(m_distributor.tick(now, source), now, source);
    }

    std::vector<version_number> applied;
    version_number version() const { return m_distributor.store().applied()->version(); }

private:
    void perform(std::vector<distribution_action> const& actions, time_point now, generator& source)
    {
        for (auto const& action : actions) {
            if (auto const* watch = std::get_if<watch_platform_head>(&action)) {
                m_watches.push_back(*watch);
            } else if (auto const* read = std::get_if<read_platform_object>(&action)) {
                std::vector<distribution_action> next;
                m_store.read(read->key, [&](auto const& outcome) {
                    next = m_distributor.didReadPlatform(read->key, outcome, now, source);
                });
                perform(next, now, source);
            } else if (auto const* update = std::get_if<version_applied>(&action)) {
                applied.push_back(update->set->version());
            }
        }
    }

    platform_store m_store;
    distributor m_distributor;
    std::vector<watch_platform_head> m_watches;
};

class store_history {
public:
    explicit store_history(std::uint64_t seed)
        : m_source(seed)
    {
        for (std::size_t i = 0; i < daemonCount; ++i)
            m_readers.push_back(std::make_unique<store_reader>(m_store));
        writeNext();
        m_copy = m_store.copy();
    }

    void runRandomSteps()
    {
        for (int i = 0; i < stepsPerHistory; ++i) {
            act();
            advance(step);
        }
    }

    // The operator writes what the last restore has lost, and every fault ends.
    void settle()
    {
        m_store.isDown = false;
        m_store.losesAnswers = false;
        rewriteIfLost();
        advance(timeUntilInForce);
    }

    void advance(duration time)
    {
        for (auto const end = m_now + time; m_now < end; m_now += step) {
            for (auto& reader : m_readers)
                reader->tick(m_now, m_source);
        }
    }

    version_number newest() const { return m_newest; }
    std::vector<std::unique_ptr<store_reader>> const& readers() const { return m_readers; }
    fixture::emulated_store& store() { return m_store; }

private:
    void writeNext()
    {
        m_newest += 1 + uniformBelow(m_source, 3);
        m_store.write("config/main", configurationOf(m_newest));
        m_isLost = false;
    }

    void rewriteIfLost()
    {
        if (std::exchange(m_isLost, false))
            m_store.write("config/main", configurationOf(m_newest));
    }

    void act()
    {
        switch (uniformBelow(m_source, 24)) {
        case 0:
        case 1:
            rewriteIfLost();
            writeNext();
            break;
        case 2:
            m_copy = m_store.copy();
            break;
        case 3:
            m_store.restore(m_copy);
            m_isLost = true;
            break;
        case 4:
        case 5:
            rewriteIfLost();
            break;
        case 6:
            m_store.compact();
            break;
        case 7:
            m_store.isDown = !m_store.isDown;
            break;
        case 8:
            m_store.losesAnswers = !m_store.losesAnswers;
            break;
        case 9:
            // Other writes raise the revision.
            m_store.write("merlinpier-members/10.0.0.1", "10.0.0.1:7000");
            break;
        default:
            break;
        }
    }

    generator m_source;
    time_point m_now { seconds(1000) };
    fixture::emulated_store m_store;
    fixture::emulated_store::store_copy m_copy;
    std::vector<std::unique_ptr<store_reader>> m_readers;
    version_number m_newest { 0 };
    bool m_isLost { false };
};

} // namespace

TEST(StoreHistory, VersionsOnlyRiseAndTheNewestIsInForceInTime)
{
    for (std::uint64_t seed = 1; seed <= histories; ++seed) {
        store_history history(seed);
        history.runRandomSteps();
        history.settle();
        for (auto const& reader : history.readers()) {
            auto const& applied = reader->applied;
            auto const backward = std::adjacent_find(applied.begin(), applied.end(), std::greater_equal<>());
            EXPECT_EQ(backward, applied.end()) << "seed " << seed;
            EXPECT_EQ(reader->version(), history.newest()) << "seed " << seed;
        }
    }
}

TEST(StoreHistory, AnUnchangedStoreCostsFewCallsAfterARestore)
{
    for (std::uint64_t seed = 1; seed <= histories; ++seed) {
        store_history history(seed);
        history.runRandomSteps();
        history.settle();
        // A restore drops the history, so that a watch from the last change gets 410 from now on.
        history.store().restore(history.store().copy());
        history.store().write("merlinpier-members/10.0.0.2", "10.0.0.2:7000");
        history.store().compact();
        history.advance(seconds(2));
        history.store().calls = 0;
        constexpr seconds span { 5 };
        history.advance(span);
        EXPECT_LE(history.store().calls, span.count() * callsPerSecond * daemonCount) << "seed " << seed;
    }
}

} // namespace merlinpier::platform
