#include "discovery.h"

#include <LibCore/log.h>
#include <utility>
#include <variant>

namespace merlinpier {

namespace {

constexpr milliseconds tickPeriod { 100 };
// For how long an acknowledgement waits for the store. Targets take one as given only within a second.
constexpr milliseconds acknowledgementLimit { 700 };

} // namespace

discovery::discovery(daemon& owner, registry_settings settings, object_store& store)
    : m_daemon(owner)
    , m_store(store)
    , m_ownKey(memberEntryPrefix + settings.vm)
    , m_registry(std::move(settings))
    , m_generator(owner.instance())
{
}

void discovery::start()
{
    m_timer = m_daemon.loop().subscribe(tickPeriod, [this] { tick(); });
    tick();
}

void discovery::stop()
{
    m_registry.stop();
    tick();
}

void discovery::prepareToEnd()
{
    m_registry.prepareToEnd(currentTime());
    tick();
}

void discovery::recordDeparture(target_departure const& departure, std::function<void(durability)> acknowledge)
{
    auto const now = currentTime();
    m_registry.didDepart(departure, now);
    m_waiting.push_back({ departure.target, now + acknowledgementLimit, std::move(acknowledge) });
    tick();
}

void discovery::endOrder(std::string const& target)
{
    m_registry.endUnnumberedDeparture(target);
    tick();
}

void discovery::followOrders()
{
    for (auto const& target : m_registry.unnumberedDepartures()) {
        auto const state = m_daemon.targets().stateOf(target);
        if (state == target_state::Draining)
            m_registry.didDepart({ target, 0 }, currentTime());
        else if (state == target_state::Ready)
            m_registry.endUnnumberedDeparture(target);
    }
}

void discovery::tick()
{
    auto const& membership = m_daemon.membership();
    member_registry::status const status { membership.hasContact(), membership.peers().isRelay, m_store.era() };
    for (auto const& action : m_registry.tick(membership.table(), status, currentTime(), m_generator))
        std::visit([this](auto const& wanted) { carryOut(wanted); }, action);
    acknowledgeDepartures();
    learnEarlierDepartures();
    followOrders();
}

void discovery::acknowledgeDepartures()
{
    auto const now = currentTime();
    bool const isStored = m_registry.hasStoredDepartures();
    for (auto& waiting : std::exchange(m_waiting, {})) {
        if (!isStored && now < waiting.until) {
            m_waiting.push_back(std::move(waiting));
            continue;
        }
        if (!isStored) {
            logWarning("departure_not_stored", { { "target", waiting.target } });
            m_daemon.figures().add("merlinpier_departures_not_stored_total");
        }
        waiting.acknowledge(isStored ? durability::Stored : durability::NotStored);
    }
}

void discovery::learnEarlierDepartures()
{
    if (!m_registry.knowsEarlierDepartures() || std::exchange(m_hasLearntDepartures, true))
        return;
    for (auto const& departure : m_registry.earlierDepartures())
        logInfo("departure_recovered", { { "target", departure.target }, { "started_at", departure.startedAt } });
    m_daemon.targets().didDepartBefore(m_registry.earlierDepartures());
}

void discovery::carryOut(write_entry const& wanted)
{
    m_store.write(wanted.key, wanted.value, { wanted.expectedRevision }, [this](result<stored_object> const& outcome) {
        bool const isTaken = outcome.isError() && outcome.failure().kind == error_kind::Conflict;
        if (outcome.isError() && !isTaken)
            logWarning("entry_not_written", { { "reason", outcome.failure().text() } });
        m_registry.didWrite(outcome.isError() ? result<std::uint64_t>(outcome.failure()) : outcome.value().revision,
            currentTime(), m_generator);
        tick();
    });
}

void discovery::carryOut(list_entries const& wanted)
{
    m_store.list(wanted.prefix, [this](result<std::vector<stored_object>> const& outcome) {
        if (outcome.isError())
            logWarning("entries_not_listed", { { "reason", outcome.failure().text() } });
        auto const addresses = m_registry.didList(outcome, m_daemon.membership().table(), currentTime(), m_generator);
        for (auto const& key : outcome.isError() ? std::vector<std::string>() : m_registry.unreadableEntries()) {
            logWarning("entry_unreadable", { { "entry", key } });
            m_daemon.figures().add("merlinpier_entries_unreadable_total");
        }
        logInfo("entries_listed", { { "others", static_cast<std::uint64_t>(addresses.size()) } });
        m_daemon.membership().addSeeds(addresses);
        m_daemon.setListedDaemons(m_registry.listedDaemons());
        tick();
    });
}

void discovery::carryOut(restore_entry const& wanted)
{
    logInfo("entry_restored", { { "entry", wanted.key } });
    m_store.write(wanted.key, wanted.value, { wanted.expectedRevision },
        [key = wanted.key](result<stored_object> const& outcome) {
            // A conflict means that another daemon has written it.
            if (outcome.isError() && outcome.failure().kind != error_kind::Conflict)
                logWarning("entry_not_restored", { { "entry", key }, { "reason", outcome.failure().text() } });
        });
}

void discovery::carryOut(remove_entry const& wanted)
{
    logInfo("entry_removed", { { "entry", wanted.key } });
    m_store.remove(wanted.key, { wanted.revision }, [key = wanted.key](result<empty> const& outcome) {
        if (outcome.isError())
            logWarning("entry_not_removed", { { "entry", key }, { "reason", outcome.failure().text() } });
    });
}

void discovery::carryOut(remove_own_entry const& wanted)
{
    m_store.remove(wanted.key, { wanted.revision }, [this](result<empty> const& outcome) {
        if (outcome.isError())
            logWarning("entry_not_removed", { { "reason", outcome.failure().text() } });
        m_registry.didRemoveOwn(outcome, currentTime(), m_generator);
        tick();
    });
}

} // namespace merlinpier
