#include "discovery.h"

#include <LibCore/log.h>

namespace merlinpier {

namespace {

constexpr milliseconds tickPeriod { 100 };

} // namespace

discovery::discovery(daemon& owner, registry_settings settings, object_store& store)
    : m_daemon(owner)
    , m_store(store)
    , m_ownKey(memberEntryPrefix + settings.vm)
    , m_registry(std::move(settings))
    , m_generator(owner.instance())
{
}

discovery::~discovery() { m_daemon.loop().cancel(m_timer); }

void discovery::start()
{
    m_timer = m_daemon.loop().subscribe(tickPeriod, [this] { tick(); });
    tick();
}

void discovery::stop()
{
    m_daemon.loop().cancel(m_timer);
    m_store.remove(m_ownKey, {}, [](result<empty> const& outcome) {
        if (outcome.isError())
            logWarning("entry_not_removed", { { "reason", outcome.failure().text() } });
    });
}

void discovery::tick()
{
    auto const& membership = m_daemon.membership();
    member_registry::status const status { membership.hasContact(), membership.peers().isRelay, m_store.era() };
    carryOut(m_registry.tick(membership.table(), status, currentTime(), m_generator));
}

void discovery::carryOut(std::vector<registry_action> actions)
{
    for (auto& action : actions) {
        if (auto* written = std::get_if<write_entry>(&action)) {
            m_store.write(written->key, written->value, {}, [this](result<stored_object> const& outcome) {
                if (outcome.isError())
                    logWarning("entry_not_written", { { "reason", outcome.failure().text() } });
                m_registry.didWrite(
                    outcome.isError() ? result<empty>(outcome.failure()) : empty {}, currentTime(), m_generator);
                tick();
            });
        } else if (auto const* wanted = std::get_if<list_entries>(&action)) {
            m_store.list(wanted->prefix, [this](result<std::vector<stored_object>> const& outcome) {
                if (outcome.isError())
                    logWarning("entries_not_listed", { { "reason", outcome.failure().text() } });
                auto const addresses
                    = m_registry.didList(outcome, m_daemon.membership().table(), currentTime(), m_generator);
                logInfo("entries_listed", { { "others", static_cast<std::uint64_t>(addresses.size()) } });
                m_daemon.membership().addSeeds(addresses);
                m_daemon.setListedDaemons(m_registry.listedDaemons());
            });
        } else if (auto* restored = std::get_if<restore_entry>(&action)) {
            logInfo("entry_restored", { { "entry", restored->key } });
            m_store.write(restored->key, std::move(restored->value), { 0 },
                [key = restored->key](result<stored_object> const& outcome) {
                    // A conflict means that another daemon has written it.
                    if (outcome.isError() && outcome.failure().kind != error_kind::Conflict)
                        logWarning("entry_not_restored", { { "entry", key }, { "reason", outcome.failure().text() } });
                });
        } else if (auto const* removed = std::get_if<remove_entry>(&action)) {
            logInfo("entry_removed", { { "entry", removed->key } });
            m_store.remove(removed->key, { removed->revision }, [key = removed->key](result<empty> const& outcome) {
                if (outcome.isError())
                    logWarning("entry_not_removed", { { "entry", key }, { "reason", outcome.failure().text() } });
            });
        }
    }
}

} // namespace merlinpier
