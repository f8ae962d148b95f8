#include "configuration_part.h"

#include <LibCore/log.h>

namespace merlinpier {

namespace {

void logSent(send_message const& sent)
{
    if (auto const* request = std::get_if<configuration_request>(&sent.content))
        logInfo("configuration_requested", { { "from", sent.address }, { "version", request->version } });
    else if (auto const* answer = std::get_if<configuration_answer>(&sent.content))
        logInfo("configuration_sent",
            { { "to", sent.address }, { "version", answer->version },
                { "fragments", static_cast<std::uint64_t>(answer->fragments.size()) } });
    else if (auto const* announce = std::get_if<version_announce>(&sent.content))
        logInfo("configuration_announced", { { "to", sent.address }, { "version", announce->version } });
}

// An object that is missing is reported by the distributor's further requests, not here.
void logFailure(std::string const& key, result<std::optional<stored_object>> const& answer)
{
    if (answer.isError())
        logWarning("configuration_not_read", { { "key", key }, { "reason", answer.failure().message } });
}

} // namespace

configuration_part::configuration_part(
    distribution_settings settings, object_store& store, peer_hub& hub, std::uint64_t seed)
    : m_store(store)
    , m_hub(hub)
    , m_distributor(settings)
    , m_generator(seed)
{
}

void configuration_part::setChangeHandler(std::function<void()> didChange) { m_didChange = std::move(didChange); }

std::shared_ptr<configuration_set const> configuration_part::applied() const { return m_distributor.store().applied(); }

configuration_summary configuration_part::summary() const
{
    auto const& store = m_distributor.store();
    configuration_summary summary;
    summary.applied = store.applied()->version();
    summary.highestKnown = std::max(m_distributor.highestKnown(), summary.applied);
    summary.floor = store.floor();
    summary.refused = store.refusedVersion();
    summary.refusedReason = store.refusedReason();
    summary.isReady = store.isReady();
    if (auto const since = m_distributor.platformSilentSince())
        summary.platformSilentFor = std::chrono::duration_cast<milliseconds>(currentTime() - *since);
    return summary;
}

void configuration_part::setPeers(distribution_peers peers) { m_distributor.setPeers(std::move(peers)); }

void configuration_part::raiseFloor(version_number version) { m_distributor.raiseFloor(version); }

void configuration_part::didHearVersion(std::string const& address, version_number version)
{
    std::vector<distribution_action> actions;
    actions = m_distributor.didHearVersion(address, version, currentTime());
    carryOut(std::move(actions));
}

void configuration_part::didMissPush(std::string const& address, version_number version)
{
    carryOut(m_distributor.didMissPush(address, version, currentTime()));
}

void configuration_part::didReceive(std::string const& address, message const& content)
{
    std::vector<distribution_action> actions;
    actions = m_distributor.didReceive(address, content, currentTime());
    carryOut(std::move(actions));
}

void configuration_part::tick()
{
    std::vector<distribution_action> actions;
    actions = m_distributor.tick(currentTime(), m_generator);
    carryOut(std::move(actions));
}

void configuration_part::carryOut(std::vector<distribution_action> actions)
{
    bool changed = false;
    for (auto& action : actions) {
        if (auto const* sent = std::get_if<send_message>(&action)) {
            logSent(*sent);
            m_hub.sendControl(sent->address, sent->content);
        } else if (auto const* wanted = std::get_if<read_platform_object>(&action)) {
            m_store.read(wanted->key, [this, key = wanted->key](result<std::optional<stored_object>> const& answer) {
                logFailure(key, answer);
                std::vector<distribution_action> next;
                next = m_distributor.didReadPlatform(key, answer, currentTime(), m_generator);
                carryOut(std::move(next));
            });
        } else if (auto const* watched = std::get_if<watch_platform_head>(&action)) {
            m_store.watch(headKey, watched->afterRevision, watched->wait,
                [this](result<std::optional<stored_object>> const& answer) {
                    logFailure(headKey, answer);
                    std::vector<distribution_action> next;
                    next = m_distributor.didWatchPlatform(answer, currentTime(), m_generator);
                    carryOut(std::move(next));
                });
        } else if (auto const* applied = std::get_if<version_applied>(&action)) {
            logInfo("version_applied", { { "version", applied->set->version() } });
            changed = true;
        } else if (auto const* refused = std::get_if<version_refused>(&action)) {
            logWarning("version_refused", { { "version", refused->version }, { "reason", refused->reason.text() } });
            changed = true;
        }
    }
    if (changed && m_didChange)
        m_didChange();
}

} // namespace merlinpier
