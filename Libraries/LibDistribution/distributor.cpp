#include <LibDistribution/distributor.h>

#include <LibCore/digest.h>
#include <algorithm>
#include <set>
#include <utility>

namespace merlinpier {

namespace {

// While a version is being read from the platform, peers are asked for it only after this fraction of the request
// timeout.
constexpr int peerFallbackDivisor = 2;

} // namespace

distribution_peers distribution_peers::of(member const& member)
{
    return { member.isPrimaryRelay(), member.answeringRelays(), member.versionReceivers(), member.remoteRelays() };
}

distributor::distributor(distribution_settings settings)
    : m_settings(settings)
    , m_platformCalls(settings)
    , m_peerRequests(settings.requestTimeout)
{
}

void distributor::setPeers(distribution_peers peers)
{
    if (peers == m_peers)
        return;
    m_peers = std::move(peers);
    if (!watches())
        m_platformCalls.didStopWatching();
}

void distributor::raiseFloor(version_number floor)
{
    m_store.raiseFloor(floor);
    m_highestKnown = std::max(m_highestKnown, floor);
}

bool distributor::isWanted(version_number version) const
{
    return version > m_store.applied()->version() && m_peerRequests.isRequestable(version)
        && version >= m_store.floor();
}

version_number distributor::wantedVersion() const
{
    auto const version = isWanted(m_highestKnown) ? m_highestKnown : m_peerRequests.highestRequestable();
    return isWanted(version) ? version : 0;
}

bool distributor::isReadingPlatform() const
{
    return watches() && m_assembly && m_assembly->version() == m_head.version;
}

std::vector<distribution_action> distributor::tick(time_point now, generator&)
{
    actions actions;
    applyIfComplete(actions, now);
    startDueWatch(actions, now);
    startDueReads(actions, now);
    sendDueRequest(actions, now);
    return actions;
}

void distributor::startDueWatch(actions& actions, time_point now)
{
    if (!watches())
        return;
    if (auto watch = m_platformCalls.nextWatch(m_headPosition.revision, now))
        actions.emplace_back(*watch);
}

void distributor::startDueReads(actions& actions, time_point now)
{
    if (!isReadingPlatform())
        return;
    std::vector<std::string> keys;
    if (!m_assembly->hasManifest())
        keys.push_back(manifestKey(m_head.manifestDigest));
    for (auto const& digest : m_assembly->missingDigests())
        keys.push_back(fragmentKey(digest));
    for (auto& read : m_platformCalls.nextReads(keys, now))
        actions.emplace_back(std::move(read));
}

void distributor::sendDueRequest(actions& actions, time_point now)
{
    auto const wanted = wantedVersion();
    if (wanted == 0)
        m_behindSince.reset();
    else if (!m_behindSince)
        m_behindSince = now;
    if (m_settings.mode == distribution_mode::Baseline || wanted == 0)
        return;
    bool const isPlatformSilent = watches() && m_platformCalls.silentSince();
    // Relays push only changed fragments, so a daemon without any version must request one, unless it reads the
    // platform and has not found an older version there.
    bool const isPlatformOlder = m_head.version > 0 && m_head.version < wanted;
    bool const isPushExpected
        = wanted > m_missedPush && (m_store.applied()->version() > 0 || (watches() && !isPlatformOlder));
    if (isPushExpected && !isPlatformSilent && now - *m_behindSince < m_settings.peerRequestDelay)
        return;
    bool const isPlatformReadExpected
        = isReadingPlatform() && m_head.version >= wanted && !m_platformCalls.silentSince();
    if (isPlatformReadExpected && now - m_assemblyStartedAt < m_settings.requestTimeout / peerFallbackDivisor)
        return;
    auto relays = m_peers.relays;
    relays.insert(relays.end(), m_peers.remoteRelays.begin(), m_peers.remoteRelays.end());
    auto const order
        = m_settings.asksRelaysFirst ? peer_requests::order::RelaysFirst : peer_requests::order::AdvertisedFirst;
    auto const address = m_peerRequests.nextPeer(relays, order, now);
    if (!address)
        return;
    auto const advertised = m_peerRequests.advertisedVersion(*address);
    auto const version = isWanted(advertised) ? advertised : wanted;
    auto known = m_assembly ? m_assembly->knownDigests() : m_store.applied()->digests();
    actions.emplace_back(send_message { *address, configuration_request { version, std::move(known) } });
}

void distributor::recordPeerVersion(std::string const& address, version_number version)
{
    m_highestKnown = std::max(m_highestKnown, version);
    m_peerRequests.recordVersion(address, version);
}

std::vector<distribution_action> distributor::didHearVersion(
    std::string const& address, version_number version, time_point now)
{
    actions actions;
    recordPeerVersion(address, version);
    sendDueRequest(actions, now);
    return actions;
}

std::vector<distribution_action> distributor::didMissPush(
    std::string const& address, version_number version, time_point now)
{
    m_missedPush = std::max(m_missedPush, version);
    return didHearVersion(address, version, now);
}

std::vector<distribution_action> distributor::didReceive(
    std::string const& fromAddress, message const& content, time_point now)
{
    actions actions;
    if (auto const* announce = std::get_if<version_announce>(&content))
        didReceive(actions, fromAddress, *announce, now);
    if (auto const* request = std::get_if<configuration_request>(&content))
        didReceive(actions, fromAddress, *request);
    if (auto const* answer = std::get_if<configuration_answer>(&content))
        didReceive(actions, fromAddress, *answer, now);
    return actions;
}

void distributor::didReceive(
    actions& actions, std::string const& from, version_announce const& announce, time_point now)
{
    // A peer answers with an announcement if it does not have the requested version.
    if (m_peerRequests.hasPendingRequestTo(from))
        m_peerRequests.didReceiveOlderVersion(from, announce.version);
    recordPeerVersion(from, announce.version);
    sendDueRequest(actions, now);
}

void distributor::didReceive(actions& actions, std::string const& from, configuration_request const& request) const
{
    auto const& applied = *m_store.applied();
    if (applied.version() == 0 || applied.version() < request.version) {
        actions.emplace_back(send_message { from, version_announce { applied.version(), applied.digest() } });
        return;
    }
    actions.emplace_back(send_message { from,
        configuration_answer { applied.version(), serializeManifest(applied.versionManifest()),
            applied.fragmentsExcept(request.knownDigests) } });
}

void distributor::didReceive(
    actions& actions, std::string const& from, configuration_answer const& answer, time_point now)
{
    recordPeerVersion(from, answer.version);
    // Without a pending request to the sender, the message is a push or a late answer.
    bool const isRequested = m_peerRequests.hasPendingRequestTo(from);
    if (!isWanted(answer.version)) {
        if (isRequested)
            m_peerRequests.didReceiveUnusableAnswer(from);
        sendDueRequest(actions, now);
        return;
    }
    // An answer with a lower version than the one being assembled is used only if it is complete.
    bool const isOlder = m_assembly && m_assembly->version() > answer.version;
    bool const isCurrent = m_assembly && m_assembly->version() == answer.version;
    auto assembly = isCurrent ? *m_assembly : startAssembly(answer.version);
    if (!assembly.hasManifest() && assembly.setManifest(answer.manifest).isError()) {
        m_peerRequests.didReceiveUnusableAnswer(from);
        sendDueRequest(actions, now);
        return;
    }
    for (auto const& fragment : answer.fragments)
        assembly.addFragment(fragment);
    if (assembly.isComplete()) {
        applyOrRefuse(actions, assembly, from, now);
        return;
    }
    if (!isOlder) {
        m_assemblyStartedAt = isCurrent ? m_assemblyStartedAt : now;
        m_assembly = std::move(assembly);
    }
    // A push may omit fragments that this daemon never had. The answer to a request must contain all fragments that the
    // request did not list as known, so an incomplete one is unusable.
    if (isRequested)
        m_peerRequests.didReceiveUnusableAnswer(from);
    sendDueRequest(actions, now);
}

void distributor::didFailPlatformCall(error const& failure, time_point now, generator& source)
{
    bool const isAnswered = failure.kind == error_kind::RateLimited;
    m_platformCalls.didFail(
        isAnswered ? platform_calls::failure::Answered : platform_calls::failure::Unanswered, now, source);
}

std::vector<distribution_action> distributor::didWatchPlatform(
    result<std::optional<stored_object>> const& outcome, time_point now, generator& source)
{
    actions actions;
    m_platformCalls.didEndWatch();
    if (outcome.isError()) {
        didFailPlatformCall(outcome.failure(), now, source);
        sendDueRequest(actions, now);
        return actions;
    }
    m_platformCalls.didSucceed();
    if (outcome.value() && positionOf(*outcome.value()).isAfter(m_headPosition)) {
        m_platformCalls.didObserveChange(now);
        didReceiveHead(actions, *outcome.value(), now);
    }
    startDueWatch(actions, now);
    startDueReads(actions, now);
    sendDueRequest(actions, now);
    return actions;
}

void distributor::didReceiveHead(actions& actions, stored_object const& object, time_point now)
{
    m_headPosition = positionOf(object);
    auto parsed = parseHead(object.value);
    if (parsed.isError()) {
        actions.emplace_back(version_refused { 0, parsed.releaseFailure() });
        return;
    }
    m_head = parsed.releaseValue();
    m_highestKnown = std::max(m_highestKnown, m_head.version);
    if (!isWanted(m_head.version) || (m_assembly && m_assembly->version() >= m_head.version))
        return;
    m_assembly = startAssembly(m_head.version);
    m_assemblyStartedAt = now;
}

std::vector<distribution_action> distributor::didReadPlatform(
    std::string const& key, result<std::optional<stored_object>> const& outcome, time_point now, generator& source)
{
    actions actions;
    m_platformCalls.didEndRead(key);
    if (outcome.isError()) {
        didFailPlatformCall(outcome.failure(), now, source);
    } else if (!outcome.value()) {
        m_platformCalls.didFail(platform_calls::failure::Answered, now, source);
    } else {
        didReadObject(key, outcome.value()->value, now, source);
    }
    applyIfComplete(actions, now);
    startDueReads(actions, now);
    sendDueRequest(actions, now);
    return actions;
}

void distributor::applyIfComplete(actions& actions, time_point now)
{
    if (m_assembly && m_assembly->isComplete() && !isHeldBack(m_assembly->version(), now))
        applyOrRefuse(actions, version_assembly(*m_assembly), {}, now);
}

bool distributor::isHeldBack(version_number version, time_point now)
{
    if (m_store.applied()->version() > 0)
        return false;
    if (!m_heldBackSince)
        m_heldBackSince = now;
    bool const isNewestKnown = m_hasContact && m_highestKnown <= version;
    return !isNewestKnown && now - *m_heldBackSince < m_settings.initialPeerWait;
}

void distributor::didReadObject(std::string const& key, std::string const& content, time_point now, generator& source)
{
    m_platformCalls.didSucceed();
    if (!m_assembly)
        return;
    auto const digest = contentDigest(content);
    bool const isManifest = key == manifestKey(m_head.manifestDigest);
    if (isManifest && m_assembly->version() == m_head.version) {
        if (digest != m_head.manifestDigest || m_assembly->setManifest(content).isError())
            m_platformCalls.didFail(platform_calls::failure::Answered, now, source);
        return;
    }
    if (key != fragmentKey(digest)) {
        m_platformCalls.didFail(platform_calls::failure::Answered, now, source);
        return;
    }
    m_assembly->addFragment({ {}, digest, content });
}

version_assembly distributor::startAssembly(version_number version) const
{
    // Baseline mode reads the whole configuration each time, so it reuses no applied fragments.
    auto const applied
        = m_settings.mode == distribution_mode::Baseline ? configuration_set::createEmpty() : m_store.applied();
    version_assembly assembly(version, applied);
    if (m_assembly)
        assembly.copyFragmentsFrom(*m_assembly);
    return assembly;
}

void distributor::applyOrRefuse(
    actions& actions, version_assembly const& assembly, std::string const& fromAddress, time_point now)
{
    auto const version = assembly.version();
    auto created = assembly.finish();
    if (m_assembly && m_assembly->version() <= version)
        m_assembly.reset();
    if (created.isError()) {
        m_peerRequests.exclude(version);
        m_store.refuse(version, created.failure().text());
        actions.emplace_back(version_refused { version, created.releaseFailure() });
        sendDueRequest(actions, now);
        return;
    }
    auto const previous = m_store.applied();
    // The store refuses a version below a floor that was raised during the assembly; this is not reported.
    if (m_store.apply(created.releaseValue()).isError())
        return;
    m_peerRequests.didApply(version);
    actions.emplace_back(version_applied { m_store.applied() });
    propagate(actions, *previous, fromAddress);
    if (m_assembly) {
        // The newer version may have arrived earlier, as a delta against the version just applied.
        m_assembly->rebase(m_store.applied());
        if (m_assembly->isComplete())
            applyOrRefuse(actions, version_assembly(*m_assembly), {}, now);
    }
    sendDueRequest(actions, now);
}

void distributor::propagate(actions& actions, configuration_set const& previous, std::string const& fromAddress)
{
    if (m_settings.mode == distribution_mode::Baseline)
        return;
    auto const& applied = *m_store.applied();
    version_announce const announce { applied.version(), applied.digest() };
    configuration_answer const push { applied.version(), serializeManifest(applied.versionManifest()),
        applied.fragmentsExcept(previous.digests()) };
    // After a restart, the difference would be the whole configuration, which the subscribers already have.
    bool const isPush = m_settings.mode == distribution_mode::Push && previous.version() > 0;
    std::set<std::string> notified { fromAddress };
    for (auto const& address : m_peers.subscribers) {
        if (!notified.insert(address).second || m_peerRequests.advertisedVersion(address) >= applied.version())
            continue;
        actions.emplace_back(send_message { address, isPush ? message(push) : message(announce) });
    }
    // Relays of other zones normally read the platform themselves, so they get an announcement and request the version
    // only if needed.
    for (auto const& address : m_peers.remoteRelays) {
        if (notified.insert(address).second && m_peerRequests.advertisedVersion(address) < applied.version())
            actions.emplace_back(send_message { address, announce });
    }
    // The versions that peers outside the current membership have advertised are no longer needed.
    notified.insert(m_peers.relays.begin(), m_peers.relays.end());
    m_peerRequests.forgetPeersExcept(notified);
}

} // namespace merlinpier
