#include "distribution_simulation.h"

#include <LibCore/digest.h>
#include <Tests/LibConfiguration/configuration_samples.h>

namespace merlinpier {

namespace {

// What the client of the platform lets a watch take beyond its own time.
constexpr milliseconds watchMargin { 400 };

} // namespace

distributor& distribution_simulation::start(
    std::string const& address, distribution_peers peers, distribution_mode mode)
{
    auto daemonSettings = settings;
    daemonSettings.mode = mode;
    auto& daemon = m_daemons[address];
    daemon = { std::make_unique<distributor>(daemonSettings), std::move(peers) };
    daemon.distributor->setPeers(daemon.peers);
    applied[address].clear();
    openWatches[address] = 0;
    // A daemon exchanges versions with its peers soon after it has started.
    m_nextHeartbeatAt = std::min(m_nextHeartbeatAt, now + milliseconds(20));
    return *daemon.distributor;
}

version_number distribution_simulation::commit(
    std::vector<questionnaire> const& answers, std::optional<version_number> version)
{
    // The revision stays 1, so that unchanged answers keep their digest.
    std::vector<wire_fragment> fragments;
    manifest contents;
    contents.version = version.value_or(m_head.version + 1);
    for (auto const& each : answers) {
        auto const fragment = fragmentsOf({ each }, 1).at(0);
        contents.entries.push_back({ each.service, 1, fragment.digest });
        m_objects[fragmentKey(fragment.digest)] = { fragmentKey(fragment.digest), 1, fragment.content };
    }
    auto const content = serializeManifest(contents);
    auto const digest = contentDigest(content);
    m_objects[manifestKey(digest)] = { manifestKey(digest), 1, content };
    auto const former = version ? configuration_head { *version - 1, {}, {} } : m_head;
    m_head = former.next(digest, { "id" + std::to_string(contents.version), contents.version, "slots", 1, "team" });
    m_objects[headKey] = { headKey, ++m_revision, serializeHead(m_head) };
    return contents.version;
}

void distribution_simulation::restorePlatform(platform_copy const& copy)
{
    m_objects = copy.objects;
    m_head = copy.head;
    m_revision = copy.revision;
    ++m_era;
}

void distribution_simulation::run(duration time)
{
    constexpr milliseconds step { 10 };
    for (auto const end = now + time; now < end; now += step) {
        while (!m_scheduledEvents.empty() && m_scheduledEvents.begin()->first <= now) {
            auto [address, event] = std::move(m_scheduledEvents.begin()->second);
            m_scheduledEvents.erase(m_scheduledEvents.begin());
            if (m_paused.contains(address))
                schedule(address, step, std::move(event));
            else
                handle(address, event);
        }
        if (sendsHeartbeats && now >= m_nextHeartbeatAt)
            sendHeartbeats();
        if (now < m_nextTick)
            continue;
        m_nextTick = now + tickPeriod;
        for (auto const& [address, daemon] : m_daemons) {
            if (!m_paused.contains(address))
                perform(address, daemon.distributor->tick(now, m_source));
        }
    }
}

void distribution_simulation::setPeers(std::string const& address, distribution_peers peers)
{
    auto& daemon = m_daemons.at(address);
    daemon.peers = std::move(peers);
    daemon.distributor->setPeers(daemon.peers);
}

void distribution_simulation::handle(std::string const& address, event const& event)
{
    if (auto found = m_daemons.find(address); found != m_daemons.end())
        perform(address, event(*found->second.distributor));
}

void distribution_simulation::sendHeartbeats()
{
    m_nextHeartbeatAt = now + seconds(1);
    for (auto const& [address, daemon] : m_daemons) {
        auto reportsTo = daemon.peers.relays;
        reportsTo.insert(reportsTo.end(), daemon.peers.remoteRelays.begin(), daemon.peers.remoteRelays.end());
        for (auto const& relay : reportsTo) {
            if (!m_daemons.contains(relay) || isLinkDown(address, relay))
                continue;
            at(address).setHasContact(true);
            at(relay).setHasContact(true);
            auto const advertise = [this](std::string const& from, std::string const& to) {
                auto const version = at(from).store().applied()->version();
                if (version > at(to).store().applied()->version())
                    schedule(
                        to, milliseconds(1), [=, this](auto& it) { return it.didHearVersion(from, version, now); });
            };
            advertise(address, relay);
            advertise(relay, address);
        }
    }
}

void distribution_simulation::perform(std::string const& address, std::vector<distribution_action> const& actions)
{
    for (auto const& action : actions) {
        if (auto const* send = std::get_if<send_message>(&action))
            this->send(address, *send);
        if (auto const* watch = std::get_if<watch_platform_head>(&action)) {
            platformCalls[address].emplace_back("watch");
            ++openWatches[address];
            this->watch(address, { *watch, m_era, now });
        }
        if (auto const* read = std::get_if<read_platform_object>(&action)) {
            platformCalls[address].push_back(read->key);
            schedule(address, milliseconds(3), [=, this, key = read->key](auto& it) {
                return it.didReadPlatform(key, readObject(address, key), now, m_source);
            });
        }
        if (auto const* update = std::get_if<version_applied>(&action))
            applied[address].push_back(update->set->version());
        if (auto const* refusal = std::get_if<version_refused>(&action))
            refused[address].push_back(*refusal);
    }
}

void distribution_simulation::schedule(std::string const& address, duration delay, event event)
{
    m_scheduledEvents.emplace(now + delay, std::make_pair(address, std::move(event)));
}

void distribution_simulation::send(std::string const& from, send_message const& sent)
{
    if (isLinkDown(from, sent.address) || uniformUnit(m_source) < lossProbability)
        return;
    for (int copies = uniformUnit(m_source) < duplicationProbability ? 2 : 1; copies > 0; --copies) {
        auto const delay = microseconds(uniformBelow(m_source, 1 + microseconds(maximumDelay).count()));
        schedule(sent.address, delay, [=, this](auto& it) {
            received[sent.address].push_back(sent.content);
            return it.didReceive(from, sent.content, now);
        });
    }
}

void distribution_simulation::watch(std::string const& address, open_watch const& open)
{
    schedule(address, milliseconds(10), [=, this](auto& it) {
        bool const isSilent = open.startedAt < m_watchesSilentBefore;
        auto const found = readObject(address, headKey);
        bool const hasChanged = found.isError() || open.era != m_era
            || (found.value() && found.value()->revision > open.watch.afterRevision);
        auto const end = open.startedAt + open.watch.wait + (isSilent ? watchMargin : duration::zero());
        if ((isSilent || !hasChanged) && now < end) {
            this->watch(address, open);
            return std::vector<distribution_action>();
        }
        --openWatches[address];
        if (isSilent)
            return it.didWatchPlatform(error { error_kind::OutcomeUnknown, "no answer in time", "" }, now, m_source);
        return it.didWatchPlatform(found, now, m_source);
    });
}

result<std::optional<stored_object>> distribution_simulation::readObject(
    std::string const& address, std::string const& key) const
{
    if (isPlatformUnreachable(address))
        return error { error_kind::Unavailable, "the platform does not answer", "wait" };
    auto const found = m_objects.find(key);
    if (found == m_objects.end())
        return std::optional<stored_object>();
    auto object = found->second;
    object.era = m_era;
    return std::optional(object);
}

bool distribution_simulation::allApplied(version_number version) const
{
    for (auto const& [address, daemon] : m_daemons) {
        if (daemon.distributor->store().applied()->version() != version)
            return false;
    }
    return true;
}

} // namespace merlinpier
