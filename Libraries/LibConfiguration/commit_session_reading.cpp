#include <LibConfiguration/commit_session_state.h>

#include <LibConfiguration/submission_rules.h>
#include <LibCore/digest.h>
#include <algorithm>

// How a commit_session takes in the head, the manifest and the fragments that its submission is based on.

namespace merlinpier {

std::vector<commit_action> commit_session::state::didReadHead(
    std::optional<stored_object> const& object, time_point now, generator& source)
{
    auto taken = takeHead(object);
    if (taken.isError())
        return fail(taken.releaseFailure());
    if (auto const* own = m_head.find(m_request.id)) {
        m_unresolved.reset();
        return accept(*own);
    }
    if (m_unresolved && m_headRevision < m_unresolved->expectedRevision)
        return waitBeforeRetry(commit_phase::ReadingHead, now, source);
    if (m_unresolved && m_headRevision > m_unresolved->expectedRevision) {
        if (!m_head.remembers(m_unresolved->version)) {
            return fail({ error_kind::OutcomeUnknown, "more submissions were accepted since than the head remembers",
                "compare the service's answers with yours (merlinpier show " + m_request.service + ")" });
        }
        // Revisions are never used again, so the lost update can no longer take effect.
        m_unresolved.reset();
    }
    return readManifest(now);
}

result<empty> commit_session::state::takeHead(std::optional<stored_object> const& object)
{
    m_head = {};
    m_headRevision = 0;
    if (object) {
        auto parsed = parseHead(object->value);
        if (parsed.isError())
            return error { error_kind::Corrupt, parsed.failure().message, parsed.failure().remedy };
        m_head = parsed.releaseValue();
        m_headRevision = object->revision;
    }
    if (m_head.version >= m_known->version())
        return empty {};
    return error { error_kind::Refused,
        "the platform is at version " + std::to_string(m_head.version) + ", but version "
            + std::to_string(m_known->version()) + " is in force here",
        "restore the platform's newest objects: daemons refuse versions below the one that they have applied" };
}

std::vector<commit_action> commit_session::state::readManifest(time_point now)
{
    if (m_head.version == 0) {
        m_base = {};
        return readFragments(now);
    }
    if (m_head.manifestDigest == m_known->digest()) {
        m_base = m_known->versionManifest();
        return readFragments(now);
    }
    return issue(commit_phase::ReadingManifest, { manifestKey(m_head.manifestDigest) }, now);
}

std::vector<commit_action> commit_session::state::didReadManifest(
    std::optional<stored_object> const& object, time_point now)
{
    error const corrupt { error_kind::Corrupt,
        "the manifest of version " + std::to_string(m_head.version) + " is missing or damaged in the platform",
        "restore the object " + manifestKey(m_head.manifestDigest) };
    if (!object || contentDigest(object->value) != m_head.manifestDigest)
        return fail(corrupt);
    auto parsed = parseManifest(object->value);
    if (parsed.isError() || parsed.value().version != m_head.version)
        return fail(corrupt);
    m_base = parsed.releaseValue();
    return readFragments(now);
}

std::vector<commit_action> commit_session::state::readFragments(time_point now)
{
    // The base that the operator did not name is what the session sees first: a change after that is a conflict.
    if (!m_request.baseRevision)
        m_request.baseRevision = currentRevision();
    if (*m_request.baseRevision != currentRevision())
        return fail(conflictError(m_request.service, *m_request.baseRevision, currentRevision()));
    std::set<std::string> missing;
    for (auto const& entry : m_base.entries) {
        if (!m_fragments.contains(entry.digest))
            missing.insert(fragmentKey(entry.digest));
    }
    if (missing.empty())
        return build(now);
    return issue(commit_phase::ReadingFragments, missing, now);
}

std::vector<commit_action> commit_session::state::didReadFragment(
    std::string const& key, std::optional<stored_object> const& object, time_point now, generator& source)
{
    if (!object || key != fragmentKey(contentDigest(object->value))) {
        return fail({ error_kind::Corrupt, "the object " + key + " is missing or damaged in the platform",
            "restore the object, or submit the answers of its service again on a daemon that has it" });
    }
    m_fragments.emplace(contentDigest(object->value), object->value);
    if (!m_pending.empty())
        return {};
    if (!m_failed.empty())
        return waitBeforeRetry(m_phase, now, source);
    return build(now);
}

std::uint64_t commit_session::state::currentRevision() const
{
    for (auto const& entry : m_base.entries) {
        if (entry.service == m_request.service)
            return entry.revision;
    }
    return 0;
}

std::vector<wire_fragment> commit_session::state::fragmentsOf(manifest const& versionManifest) const
{
    std::vector<wire_fragment> fragments;
    for (auto const& entry : versionManifest.entries) {
        auto const found = m_fragments.find(entry.digest);
        if (found != m_fragments.end())
            fragments.push_back({ entry.service, entry.digest, found->second });
    }
    return fragments;
}

// Takes the service's entry out of the manifest, puts the new one in for Submit, and returns what was accepted.
result<manifest_entry> commit_session::state::replaceEntry(manifest& versionManifest)
{
    auto const current = currentRevision();
    manifest_entry entry { m_request.service, std::max(current, current == 0 ? versionManifest.revisionFloor : 0) + 1,
        "" };
    auto const isOwn = [&](manifest_entry const& candidate) {
        return candidate.service == entry.service;
    };
    versionManifest.entries.erase(std::remove_if(versionManifest.entries.begin(), versionManifest.entries.end(), isOwn),
        versionManifest.entries.end());
    if (m_request.kind == submission_kind::Remove) {
        if (current == 0) {
            return error { error_kind::NotFound, "there is no service \"" + entry.service + "\" to remove",
                "list the services with merlinpier show" };
        }
        versionManifest.revisionFloor = std::max(versionManifest.revisionFloor, entry.revision);
        return entry;
    }
    auto content = serializeServiceConfiguration(generateServiceConfiguration(*m_request.answers, entry.revision));
    entry.digest = contentDigest(content);
    m_newObjects.emplace(fragmentKey(entry.digest), content);
    m_fragments.emplace(entry.digest, std::move(content));
    auto const position = std::find_if(versionManifest.entries.begin(), versionManifest.entries.end(),
        [&](manifest_entry const& candidate) { return candidate.service > entry.service; });
    versionManifest.entries.insert(position, entry);
    return entry;
}

result<std::string> commit_session::state::ownerOfRemoved() const
{
    for (auto const& entry : m_base.entries) {
        if (entry.service == m_request.service)
            return TRY(parseServiceConfiguration(m_fragments.at(entry.digest))).answers.owner;
    }
    return std::string();
}

} // namespace merlinpier
