#include <LibDistribution/version_assembly.h>

#include <LibCore/digest.h>
#include <set>
#include <utility>

namespace merlinpier {

namespace {

// Bounds the fragments held before the manifest arrives. A valid set has fewer.
constexpr std::size_t maximumReceivedFragments = 512;

} // namespace

version_assembly::version_assembly(version_number version, std::shared_ptr<configuration_set const> applied)
    : m_version(version)
{
    rebase(std::move(applied));
}

void version_assembly::rebase(std::shared_ptr<configuration_set const> applied)
{
    m_applied.clear();
    m_appliedSet = applied;
    for (auto& fragment : applied->fragmentsExcept({}))
        m_applied.emplace(fragment.digest, std::move(fragment));
}

result<empty> version_assembly::setManifest(std::string const& content)
{
    auto parsed = TRY(parseManifest(content));
    if (parsed.version != m_version) {
        return error { error_kind::Corrupt,
            "a manifest sent as version " + std::to_string(m_version) + " names version "
                + std::to_string(parsed.version),
            "fetch the version again from another peer or from the platform" };
    }
    m_manifest = std::move(parsed);
    return empty {};
}

void version_assembly::addFragment(wire_fragment const& fragment)
{
    if (m_received.size() < maximumReceivedFragments && contentDigest(fragment.content) == fragment.digest)
        m_received.emplace(fragment.digest, fragment);
}

void version_assembly::copyFragmentsFrom(version_assembly const& earlier)
{
    for (auto const& [digest, fragment] : earlier.m_received)
        m_received.emplace(digest, fragment);
}

std::vector<std::string> version_assembly::missingDigests() const
{
    std::vector<std::string> digests;
    if (!m_manifest)
        return digests;
    for (auto const& entry : m_manifest->entries) {
        if (!m_applied.contains(entry.digest) && !m_received.contains(entry.digest))
            digests.push_back(entry.digest);
    }
    return digests;
}

std::vector<std::string> version_assembly::knownDigests() const
{
    std::set<std::string> digests;
    for (auto const& [digest, fragment] : m_applied)
        digests.insert(digest);
    for (auto const& [digest, fragment] : m_received)
        digests.insert(digest);
    return { digests.begin(), digests.end() };
}

result<std::shared_ptr<configuration_set const>> version_assembly::finish() const
{
    std::vector<wire_fragment> fragments;
    for (auto const& entry : m_manifest->entries) {
        auto const arrived = m_received.find(entry.digest);
        if (arrived != m_received.end()) {
            fragments.push_back(arrived->second);
            continue;
        }
        if (auto const applied = m_applied.find(entry.digest); applied != m_applied.end())
            fragments.push_back(applied->second);
    }
    return configuration_set::tryCreate(*m_manifest, fragments, m_appliedSet.get());
}

} // namespace merlinpier
