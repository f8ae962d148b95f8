#include <LibDistribution/distributor.h>

#include <LibCore/digest.h>
#include <algorithm>
#include <set>
#include <utility>

namespace merlinpier {

namespace {

// While the platform is being read for a version, peers are asked for it only after this part of the request timeout.
constexpr int platformPatienceDivisor = 2;

} // namespace

distributor::distributor(distribution_settings settings)
    : m_settings(settings)
    , m_calls(settings)
    , m_requests(settings.requestTimeout)
{
}

void distributor::setPeers(distribution_peers peers)
{
    if (peers == m_peers)
        return;
    m_peers = std::move(peers);
    if (!watches())
        m_calls.stop();
}

void distributor::raiseFloor(version_number floor)
{
    m_store.raiseFloor(floor);
    m_highestKnown = std::max(m_highestKnown, floor);
}

bool distributor::isWanted(version_number version) const
{
    return version > m_store.applied()->version() && m_requests.isOpen(version) && version >= m_store.floor();
}

version_number distributor::wantedVersion() const
{
    auto const version = isWanted(m_highestKnown) ? m_highestKnown : m_requests.highestShown();
    return isWanted(version) ? version : 0;
}

bool distributor::isReadingPlatform() const
{
    return watches() && m_assembly && m_assembly->version() == m_head.version;
}

std::vector<distribution_action> distributor::tick(time_point now, generator&)
{
    actions actions;
    continueWatch(actions, now);
    continueReads(actions, now);
    continueRequests(actions, now);
    return actions;
}

void distributor::continueWatch(actions& actions, time_point now)
{
    if (!watches())
        return;
    if (auto watch = m_calls.nextWatch(m_headRevision, now))
        actions.emplace_back(*watch);
}

void distributor::continueReads(actions& actions, time_point now)
{
    if (!isReadingPlatform())
        return;
    std::vector<std::string> keys;
    if (!m_assembly->hasManifest())
        keys.push_back(manifestKey(m_head.manifestDigest));
    for (auto const& digest : m_assembly->missing())
        keys.push_back(fragmentKey(digest));
    for (auto& read : m_calls.nextReads(keys, now))
        actions.emplace_back(std::move(read));
}

void distributor::continueRequests(actions& actions, time_point now)
{
    auto const wanted = wantedVersion();
    if (wanted == 0)
        m_behindSince.reset();
    else if (!m_behindSince)
        m_behindSince = now;
    if (m_settings.mode == distribution_mode::Baseline || wanted == 0)
        return;
    bool const isPlatformSilent = watches() && m_calls.silentSince();
    // Relays push what has changed; a daemon that has nothing gets nothing unless it asks.
    bool const isPushLikely = m_store.applied()->version() > 0 || watches();
    if (isPushLikely && !isPlatformSilent && now - *m_behindSince < m_settings.peerPatience)
        return;
    bool const isPromising = isReadingPlatform() && m_head.version >= wanted && !m_calls.silentSince();
    if (isPromising && now - m_assemblySince < m_settings.requestTimeout / platformPatienceDivisor)
        return;
    auto others = m_peers.relays;
    others.insert(others.end(), m_peers.remoteRelays.begin(), m_peers.remoteRelays.end());
    auto const order
        = m_settings.asksRelaysFirst ? peer_requests::order::RelaysFirst : peer_requests::order::ShownFirst;
    auto const address = m_requests.next(others, order, now);
    if (!address)
        return;
    auto const shown = m_requests.shownBy(*address);
    auto const version = isWanted(shown) ? shown : wanted;
    auto known = m_assembly ? m_assembly->known() : m_store.applied()->digests();
    actions.emplace_back(send_message { *address, configuration_request { version, std::move(known) } });
}

void distributor::hear(std::string const& address, version_number version)
{
    m_highestKnown = std::max(m_highestKnown, version);
    m_requests.hear(address, version);
}

std::vector<distribution_action> distributor::didHearVersion(
    std::string const& address, version_number version, time_point now)
{
    actions actions;
    hear(address, version);
    continueRequests(actions, now);
    return actions;
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
    // An announcement instead of an answer comes from a peer that is behind what was asked for.
    if (m_requests.isAsked(from))
        m_requests.didAnswerWithLess(from, announce.version);
    hear(from, announce.version);
    continueRequests(actions, now);
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
    hear(from, answer.version);
    bool const isAnswer = m_requests.isAsked(from);
    if (!isWanted(answer.version)) {
        if (isAnswer)
            m_requests.didDisappoint(from);
        continueRequests(actions, now);
        return;
    }
    // An answer below the version being assembled is of use only if it can be applied as it is.
    bool const isBelow = m_assembly && m_assembly->version() > answer.version;
    bool const isSame = m_assembly && m_assembly->version() == answer.version;
    auto assembly = isSame ? *m_assembly : assemble(answer.version);
    if (!assembly.hasManifest() && assembly.setManifest(answer.manifest).isError()) {
        m_requests.didDisappoint(from);
        continueRequests(actions, now);
        return;
    }
    for (auto const& fragment : answer.fragments)
        assembly.addFragment(fragment);
    if (assembly.isComplete()) {
        finish(actions, assembly, from, now);
        return;
    }
    if (!isBelow) {
        m_assemblySince = isSame ? m_assemblySince : now;
        m_assembly = std::move(assembly);
    }
    // A push can lack what this daemon never had; an answer to a request must not.
    if (isAnswer)
        m_requests.didDisappoint(from);
    continueRequests(actions, now);
}

void distributor::didFailPlatformCall(error const& failure, time_point now, generator& source)
{
    bool const isAnswered = failure.kind == error_kind::RateLimited;
    m_calls.didFail(isAnswered ? platform_calls::failure::Answered : platform_calls::failure::Silent, now, source);
}

std::vector<distribution_action> distributor::didWatchPlatform(
    result<std::optional<stored_object>> const& outcome, time_point now, generator& source)
{
    actions actions;
    m_calls.didEndWatch();
    if (outcome.isError()) {
        didFailPlatformCall(outcome.failure(), now, source);
        continueRequests(actions, now);
        return actions;
    }
    m_calls.didSucceed();
    if (outcome.value() && outcome.value()->revision > m_headRevision) {
        m_calls.didSeeChange(now);
        didSeeHead(actions, *outcome.value(), now);
    }
    continueWatch(actions, now);
    continueReads(actions, now);
    continueRequests(actions, now);
    return actions;
}

void distributor::didSeeHead(actions& actions, stored_object const& object, time_point now)
{
    m_headRevision = object.revision;
    auto parsed = parseHead(object.value);
    if (parsed.isError()) {
        actions.emplace_back(version_refused { 0, parsed.releaseFailure() });
        return;
    }
    m_head = parsed.releaseValue();
    m_highestKnown = std::max(m_highestKnown, m_head.version);
    if (!isWanted(m_head.version) || (m_assembly && m_assembly->version() >= m_head.version))
        return;
    m_assembly = assemble(m_head.version);
    m_assemblySince = now;
}

std::vector<distribution_action> distributor::didReadPlatform(
    std::string const& key, result<std::optional<stored_object>> const& outcome, time_point now, generator& source)
{
    actions actions;
    m_calls.didEndRead(key);
    if (outcome.isError()) {
        didFailPlatformCall(outcome.failure(), now, source);
    } else if (!outcome.value()) {
        m_calls.didFail(platform_calls::failure::Answered, now, source);
    } else {
        didReadObject(key, outcome.value()->value, now, source);
    }
    if (m_assembly && m_assembly->isComplete())
        finish(actions, version_assembly(*m_assembly), {}, now);
    continueReads(actions, now);
    continueRequests(actions, now);
    return actions;
}

void distributor::didReadObject(std::string const& key, std::string const& content, time_point now, generator& source)
{
    m_calls.didSucceed();
    if (!m_assembly)
        return;
    auto const digest = contentDigest(content);
    bool const isManifest = key == manifestKey(m_head.manifestDigest);
    if (isManifest && m_assembly->version() == m_head.version) {
        if (digest != m_head.manifestDigest || m_assembly->setManifest(content).isError())
            m_calls.didFail(platform_calls::failure::Answered, now, source);
        return;
    }
    if (key != fragmentKey(digest)) {
        m_calls.didFail(platform_calls::failure::Answered, now, source);
        return;
    }
    m_assembly->addFragment({ {}, digest, content });
}

version_assembly distributor::assemble(version_number version) const
{
    // The baseline reads the whole configuration each time, so it starts from nothing.
    auto const applied
        = m_settings.mode == distribution_mode::Baseline ? configuration_set::createEmpty() : m_store.applied();
    version_assembly assembly(version, applied);
    if (m_assembly)
        assembly.inherit(*m_assembly);
    return assembly;
}

void distributor::finish(
    actions& actions, version_assembly const& assembly, std::string const& fromAddress, time_point now)
{
    auto const version = assembly.version();
    auto created = assembly.finish();
    if (m_assembly && m_assembly->version() <= version)
        m_assembly.reset();
    if (created.isError()) {
        m_requests.exclude(version);
        m_store.refuse(version, created.failure().text());
        actions.emplace_back(version_refused { version, created.releaseFailure() });
        continueRequests(actions, now);
        return;
    }
    auto const previous = m_store.applied();
    // The store refuses what a floor learnt meanwhile rules out; there is nothing to report then.
    if (m_store.apply(created.releaseValue()).isError())
        return;
    m_requests.settle(version);
    actions.emplace_back(version_applied { m_store.applied() });
    handOn(actions, *previous, fromAddress);
    if (m_assembly) {
        // A delta against the version just applied may have come before it.
        m_assembly->rebase(m_store.applied());
        if (m_assembly->isComplete())
            finish(actions, version_assembly(*m_assembly), {}, now);
    }
    continueRequests(actions, now);
}

void distributor::handOn(actions& actions, configuration_set const& previous, std::string const& fromAddress)
{
    if (m_settings.mode == distribution_mode::Baseline)
        return;
    auto const& applied = *m_store.applied();
    version_announce const announce { applied.version(), applied.digest() };
    configuration_answer const push { applied.version(), serializeManifest(applied.versionManifest()),
        applied.fragmentsExcept(previous.digests()) };
    // Against nothing, the changes are the whole configuration, which the subscribers of a restarted relay have.
    bool const isPush = m_settings.mode == distribution_mode::Push && previous.version() > 0;
    std::set<std::string> served { fromAddress };
    for (auto const& address : m_peers.subscribers) {
        if (!served.insert(address).second || m_requests.shownBy(address) >= applied.version())
            continue;
        actions.emplace_back(send_message { address, isPush ? message(push) : message(announce) });
    }
    // Relays of other zones read the platform themselves as a rule, so they are told the number and ask if they must.
    for (auto const& address : m_peers.remoteRelays) {
        if (served.insert(address).second && m_requests.shownBy(address) < applied.version())
            actions.emplace_back(send_message { address, announce });
    }
    served.insert(m_peers.relays.begin(), m_peers.relays.end());
    m_requests.keepOnly(served);
}

} // namespace merlinpier
