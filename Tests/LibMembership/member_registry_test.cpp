#include <LibMembership/member_registry.h>

#include <algorithm>
#include <gtest/gtest.h>

namespace merlinpier {

namespace {

constexpr auto start = time_point(seconds(1000));
constexpr std::uint64_t ownRevision = 5;

class RegistryTest : public testing::Test {
protected:
    std::vector<registry_action> tick(duration after, member_registry::status status = {})
    {
        return m_registry.tick(m_table, status, start + after, m_source);
    }
    void list(std::vector<stored_object> const& objects, duration after)
    {
        m_addresses = m_registry.didList(objects, m_table, start + after, m_source);
    }

    generator m_source { 1 };
    membership_table m_table;
    member_registry m_registry { { .vm = "10.0.0.1", .address = "10.0.0.1:7000" } };
    std::vector<std::string> m_addresses;
};

stored_object makeEntry(std::string const& vm, std::uint64_t revision = 5)
{
    return { memberEntryPrefix + vm, revision, vm + ":7000" };
}

error const unavailable { error_kind::Unavailable, "down", "" };

} // namespace

TEST_F(RegistryTest, WritesItsEntryBeforeListing)
{
    auto const first = tick(milliseconds(0));
    EXPECT_EQ(
        first, (std::vector<registry_action> { write_entry { "merlinpier-members/10.0.0.1", "10.0.0.1:7000", 0 } }));
    EXPECT_TRUE(tick(milliseconds(100)).empty()) << "only one request may be pending";
    m_registry.didWrite(ownRevision, start + milliseconds(110), m_source);
    EXPECT_EQ(tick(milliseconds(120)), (std::vector<registry_action> { list_entries { "merlinpier-members/" } }));
    list({ makeEntry("10.0.0.1"), makeEntry("10.0.0.2") }, milliseconds(130));
    EXPECT_EQ(m_addresses, (std::vector<std::string> { "10.0.0.2:7000" }));
}

TEST_F(RegistryTest, BacksOffWhileTheStoreIsUnavailable)
{
    int calls = 0;
    for (auto after = milliseconds(0); after < seconds(20); after += milliseconds(100)) {
        if (tick(after).empty())
            continue;
        ++calls;
        m_registry.didWrite(unavailable, start + after, m_source);
    }
    EXPECT_GE(calls, 8);
    EXPECT_LE(calls, 25) << "an unavailable store is requested too often";
}

TEST_F(RegistryTest, ListsOftenWithoutContactAndRarelyWithContact)
{
    tick(milliseconds(0));
    m_registry.didWrite(ownRevision, start, m_source);
    int searching = 0;
    int joined = 0;
    for (auto after = milliseconds(100); after < seconds(40); after += milliseconds(100)) {
        bool const hasContact = after >= seconds(10);
        if (tick(after, { hasContact, false }).empty())
            continue;
        ++(hasContact ? joined : searching);
        list({ makeEntry("10.0.0.1") }, after);
    }
    EXPECT_GE(searching, 7);
    EXPECT_LE(joined, 3);
}

TEST_F(RegistryTest, WritesItsEntryAgainAfterItWasRemoved)
{
    tick(milliseconds(0));
    m_registry.didWrite(ownRevision, start, m_source);
    tick(milliseconds(10));
    list({}, milliseconds(20));
    auto const again = tick(seconds(2));
    ASSERT_EQ(again.size(), 1u);
    EXPECT_TRUE(std::holds_alternative<write_entry>(again[0]));
}

TEST_F(RegistryTest, RelayRemovesEntriesWithoutALiveMember)
{
    tick(milliseconds(0));
    m_registry.didWrite(ownRevision, start, m_source);
    tick(milliseconds(10));
    list({ makeEntry("10.0.0.1"), makeEntry("10.0.0.2", 8), makeEntry("10.0.0.3", 9) }, milliseconds(20));
    member_record alive;
    alive.vm = "10.0.0.2";
    alive.address = "10.0.0.2:7000";
    alive.incarnation = 1;
    m_table.merge(alive);
    std::vector<registry_action> removed;
    for (auto after = milliseconds(100); after < seconds(18); after += milliseconds(100)) {
        for (auto const& action : tick(after, { true, true })) {
            if (std::holds_alternative<remove_entry>(action))
                removed.push_back(action);
        }
    }
    EXPECT_EQ(removed, (std::vector<registry_action> { remove_entry { "merlinpier-members/10.0.0.3", 9 } }));
}

TEST_F(RegistryTest, DoesNotReturnDepartedDaemonsAsSeeds)
{
    member_record gone;
    gone.vm = "10.0.0.2";
    gone.address = "10.0.0.2:7000";
    gone.incarnation = 1;
    gone.state = member_state::Gone;
    m_table.merge(gone);
    list({ makeEntry("10.0.0.2"), makeEntry("10.0.0.3") }, milliseconds(0));
    EXPECT_EQ(m_addresses, (std::vector<std::string> { "10.0.0.3:7000" }));
}

TEST_F(RegistryTest, RemovesNoEntryByARevisionOfAnEarlierEra)
{
    tick(milliseconds(0), { true, true, 1 });
    m_registry.didWrite(ownRevision, start, m_source);
    tick(milliseconds(10), { true, true, 1 });
    list({ makeEntry("10.0.0.1"), makeEntry("10.0.0.3", 9) }, milliseconds(20));
    // The entry would be removed now, but the restored store may have given revision 9 to a later write.
    auto const actions = tick(seconds(16), { true, true, 2 });
    EXPECT_TRUE(std::none_of(actions.begin(), actions.end(),
        [](auto const& action) { return std::holds_alternative<remove_entry>(action); }));
}

// Guards against a departed target that is used again, since the store was restored from a copy made before it left and
// its daemon, which does not call the store, was then lost with all others.
TEST_F(RegistryTest, RelayRestoresDeparturesThatTheStoreHasLost)
{
    auto addMember = [&](std::string const& vm, char const* zone, std::uint64_t departedStart) {
        member_record record;
        record.vm = vm;
        record.address = vm + ":7000";
        record.zone = zone;
        record.incarnation = 1;
        record.targets = { { .id = "t", .departedStart = departedStart }, { .id = "other" } };
        m_table.merge(record);
    };
    addMember("10.0.0.1", "a", 0);
    addMember("10.0.0.2", "a", 42);
    addMember("10.0.0.3", "a", 43);
    addMember("10.0.0.4", "a", 44);
    addMember("10.0.0.5", "b", 45);
    auto entry = [](std::string const& vm, std::string const& departures) {
        return stored_object { memberEntryPrefix + vm, 7, vm + ":7000" + departures };
    };
    tick(milliseconds(0), { true, true, 1 });
    m_registry.didWrite(ownRevision, start, m_source);
    std::vector<registry_action> restored;
    for (auto after = milliseconds(100); after < seconds(3); after += milliseconds(100)) {
        for (auto const& action : tick(after, { true, true, 2 })) {
            if (std::holds_alternative<list_entries>(action))
                list({ entry("10.0.0.1", ""), entry("10.0.0.2", " s 41"), entry("10.0.0.3", " t 43"),
                         entry("10.0.0.5", "") },
                    after);
            else
                restored.push_back(action);
        }
    }
    EXPECT_EQ(restored,
        (std::vector<registry_action> { restore_entry { "merlinpier-members/10.0.0.4", "10.0.0.4:7000 t 44", 0 },
            restore_entry { "merlinpier-members/10.0.0.2", "10.0.0.2:7000 s 41 t 42", 7 } }));
}

namespace {

error const taken { error_kind::Conflict, "the entry exists", "" };
constexpr char const* ownKey = "merlinpier-members/10.0.0.1";

} // namespace

// Guards against a process that overwrites what an earlier one stored before it has read it.
TEST_F(RegistryTest, ReadsTheDeparturesOfAnEarlierProcessBeforeItWrites)
{
    tick(milliseconds(0));
    m_registry.didWrite(taken, start, m_source);
    EXPECT_FALSE(m_registry.knowsEarlierDepartures());
    EXPECT_EQ(tick(milliseconds(1)), (std::vector<registry_action> { list_entries { memberEntryPrefix } }));
    list({ { ownKey, 7, "10.0.0.1:7000 i-1 42" } }, milliseconds(5));
    EXPECT_TRUE(m_registry.knowsEarlierDepartures());
    EXPECT_EQ(m_registry.earlierDepartures(), (std::vector<target_departure> { { "i-1", 42 } }));
    EXPECT_TRUE(tick(milliseconds(6)).empty()) << "the entry is as it should be";
    m_registry.didDepart({ "i-2", 50 }, start + milliseconds(10));
    EXPECT_FALSE(m_registry.hasStoredDepartures());
    EXPECT_EQ(tick(milliseconds(10)),
        (std::vector<registry_action> { write_entry { ownKey, "10.0.0.1:7000 i-1 42 i-2 50", 7 } }));
    m_registry.didWrite(std::uint64_t { 8 }, start + milliseconds(12), m_source);
    EXPECT_TRUE(m_registry.hasStoredDepartures());
}

// A departure is not stored by a write that began before it.
TEST_F(RegistryTest, StoresADepartureThatComesDuringAWrite)
{
    tick(milliseconds(0));
    m_registry.didDepart({ "i-1", 42 }, start + milliseconds(1));
    m_registry.didWrite(ownRevision, start + milliseconds(2), m_source);
    EXPECT_FALSE(m_registry.hasStoredDepartures());
    EXPECT_EQ(tick(milliseconds(3)),
        (std::vector<registry_action> { write_entry { ownKey, "10.0.0.1:7000 i-1 42", ownRevision } }));
}

// A stop removes the entry; a departure that comes later during the stop is stored all the same.
TEST_F(RegistryTest, StoresADepartureDuringAStop)
{
    tick(milliseconds(0));
    m_registry.didWrite(ownRevision, start, m_source);
    tick(milliseconds(1));
    list({ makeEntry("10.0.0.1") }, milliseconds(2));
    m_registry.stop();
    EXPECT_EQ(tick(milliseconds(3)), (std::vector<registry_action> { remove_own_entry { ownKey, ownRevision } }));
    m_registry.didDepart({ "i-1", 42 }, start + milliseconds(4));
    m_registry.didRemoveOwn(empty {}, start + milliseconds(5), m_source);
    EXPECT_EQ(
        tick(milliseconds(6)), (std::vector<registry_action> { write_entry { ownKey, "10.0.0.1:7000 i-1 42", 0 } }));
    m_registry.didWrite(std::uint64_t { 9 }, start + milliseconds(7), m_source);
    EXPECT_TRUE(tick(seconds(30)).empty()) << "a daemon that stops lists nothing";
}

// The same where the entry was not registered when the stop began, as while the store is down.
TEST_F(RegistryTest, KeepsADepartureDuringAStopThatFoundNoEntry)
{
    m_registry.stop();
    m_registry.didDepart({ "i-1", 42 }, start + milliseconds(4));
    EXPECT_EQ(
        tick(milliseconds(6)), (std::vector<registry_action> { write_entry { ownKey, "10.0.0.1:7000 i-1 42", 0 } }));
    m_registry.didWrite(std::uint64_t { 9 }, start + milliseconds(7), m_source);
    EXPECT_TRUE(tick(seconds(3)).empty());
}

// A process that is about to end has no time for long waits between its writes.
TEST_F(RegistryTest, RetriesOftenBeforeItsEndWhileADepartureIsNotStored)
{
    auto callsWithin = [&](duration from, duration period) {
        int calls = 0;
        for (auto after = from; after < from + period; after += milliseconds(20)) {
            if (tick(after).empty())
                continue;
            ++calls;
            m_registry.didWrite(unavailable, start + after, m_source);
        }
        return calls;
    };
    m_registry.didDepart({ "i-1", 42 }, start);
    callsWithin(seconds(0), seconds(10));
    EXPECT_LE(callsWithin(seconds(10), seconds(2)), 2);
    m_registry.prepareToEnd(start + seconds(12));
    EXPECT_FALSE(tick(seconds(12)).empty()) << "the first write is not delayed";
    m_registry.didWrite(unavailable, start + seconds(12), m_source);
    EXPECT_GE(callsWithin(seconds(12), seconds(2)), 7);
}

// A relay may have written the entry again; its revision is then another one.
TEST_F(RegistryTest, RemovesItsEntryWhateverItsRevisionHasBecome)
{
    tick(milliseconds(0));
    m_registry.didWrite(ownRevision, start, m_source);
    tick(milliseconds(1));
    list({ makeEntry("10.0.0.1") }, milliseconds(2));
    m_registry.stop();
    EXPECT_EQ(tick(milliseconds(3)), (std::vector<registry_action> { remove_own_entry { ownKey, ownRevision } }));
    m_registry.didRemoveOwn(taken, start + milliseconds(4), m_source);
    EXPECT_EQ(tick(seconds(1)), (std::vector<registry_action> { list_entries { memberEntryPrefix } }));
    list({ makeEntry("10.0.0.1", 11) }, milliseconds(1001));
    EXPECT_EQ(tick(seconds(3)), (std::vector<registry_action> { remove_own_entry { ownKey, 11 } }));
}

// Two writers of one entry do not make each other's calls follow without a pause.
TEST_F(RegistryTest, BacksOffFromRepeatedConflicts)
{
    int calls = 0;
    for (auto after = milliseconds(0); after < seconds(2); after += milliseconds(1)) {
        for (auto const& action : tick(after)) {
            ++calls;
            if (std::holds_alternative<write_entry>(action))
                m_registry.didWrite(taken, start + after, m_source);
            else
                list({ { ownKey, 7, "10.0.0.9:7000" } }, after);
        }
    }
    EXPECT_LE(calls, 20);
}

// Guards against one odd entry that hides the others or is taken for a daemon.
TEST_F(RegistryTest, PassesOverEntriesThatNoDaemonWrites)
{
    tick(milliseconds(0));
    m_registry.didWrite(ownRevision, start, m_source);
    tick(milliseconds(1));
    auto entry = [](char const* vm, char const* value) {
        return stored_object { std::string(memberEntryPrefix) + vm, 5, value };
    };
    list({ makeEntry("10.0.0.1"), entry("a", "10.0.0.4:99999"), entry("b", ""), entry("c", "10.0.0.5:0"),
             entry("d", "10.0.0.6:7000 i-1"), entry("e", "10.0.0.7:7000 i-1 1e999"), makeEntry("10.0.0.2"),
             entry("f", "10.0.0.8:7000 i-1 42") },
        milliseconds(2));
    EXPECT_EQ(m_addresses, (std::vector<std::string> { "10.0.0.2:7000", "10.0.0.8:7000" }));
    EXPECT_EQ(m_registry.listedDaemons(), 3U);
    EXPECT_EQ(m_registry.unreadableEntries().size(), 5U);
}

TEST(MemberEntry, KeepsAnyIdOfATarget)
{
    member_entry const entry { "10.0.0.1:7000", { { "i-1", 42 }, { "a b%\n\xff", 0 } } };
    auto const read = parseMemberEntry(serializeMemberEntry(entry));
    ASSERT_FALSE(read.isError());
    EXPECT_EQ(read.value(), entry);
}

// Guards against an entry that binds the incarnations of a target that start long after its departure.
TEST_F(RegistryTest, TakesADepartureWithoutAStartTimeOutOfTheEntryInTime)
{
    tick(milliseconds(0));
    m_registry.didWrite(ownRevision, start, m_source);
    m_registry.didDepart({ "numbered", 1000 }, start);
    m_registry.didDepart({ "ordered", 0 }, start);
    auto const value = [](std::vector<registry_action> const& actions) {
        return actions.empty() ? "" : std::get<write_entry>(actions.front()).value;
    };
    EXPECT_EQ(value(tick(milliseconds(100))), "10.0.0.1:7000 numbered 1000 ordered 0");
    m_registry.didWrite(ownRevision + 1, start + milliseconds(110), m_source);
    list({}, milliseconds(120));
    m_registry.didWrite(ownRevision + 2, start + milliseconds(130), m_source);

    m_registry.didDepart({ "ordered", 0 }, start + seconds(20));
    EXPECT_EQ(m_registry.unnumberedDepartures(), std::vector<std::string> { "ordered" });
    bool isInTime = false;
    for (auto after = seconds(30); after < seconds(60) && !isInTime; after += seconds(1)) {
        for (auto const& action : tick(after, { true, false })) {
            if (auto const* write = std::get_if<write_entry>(&action)) {
                EXPECT_GE(after, seconds(50));
                EXPECT_EQ(write->value, "10.0.0.1:7000 numbered 1000");
                isInTime = true;
            } else {
                m_registry.didList(std::vector<stored_object> { { "merlinpier-members/10.0.0.1", ownRevision + 2,
                                       "10.0.0.1:7000 numbered 1000 ordered 0" } },
                    m_table, start + after, m_source);
            }
        }
    }
    EXPECT_TRUE(isInTime);
    EXPECT_TRUE(m_registry.unnumberedDepartures().empty());
}

// Where seeds are configured, the store is asked once: whether there is an entry of an earlier process.
TEST_F(RegistryTest, DoesNotListWhereItNeedNotFindOthers)
{
    member_registry registry { { .vm = "10.0.0.1", .address = "10.0.0.1:7000", .findsOthers = false } };
    int calls = 0;
    for (auto after = milliseconds(0); after < seconds(60); after += milliseconds(100)) {
        if (registry.tick(m_table, {}, start + after, m_source).empty())
            continue;
        ++calls;
        registry.didWrite(ownRevision, start + after, m_source);
    }
    EXPECT_EQ(calls, 1);
    EXPECT_TRUE(registry.knowsEarlierDepartures());

    member_registry next { { .vm = "10.0.0.1", .address = "10.0.0.1:7000", .findsOthers = false } };
    next.tick(m_table, {}, start, m_source);
    next.didWrite(error { error_kind::Conflict, "there is one", "" }, start, m_source);
    EXPECT_EQ(next.tick(m_table, {}, start + milliseconds(10), m_source),
        (std::vector<registry_action> { list_entries { "merlinpier-members/" } }));
    auto const others = next.didList(
        std::vector<stored_object> { { "merlinpier-members/10.0.0.1", 9, "10.0.0.1:7000 t 0" }, makeEntry("10.0.0.2") },
        m_table, start + milliseconds(20), m_source);
    EXPECT_TRUE(others.empty());
    EXPECT_EQ(next.listedDaemons(), 0u) << "a listing of that kind counts no daemons";
    EXPECT_EQ(next.earlierDepartures(), (std::vector<target_departure> { { "t", 0 } }));
    EXPECT_TRUE(next.hasStoredDepartures());
}

} // namespace merlinpier
