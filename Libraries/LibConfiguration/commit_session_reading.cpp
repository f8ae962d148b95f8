#include <LibConfiguration/commit_session_state.h>

#include <LibConfiguration/submission_rules.h>
#include <LibCore/digest.h>
#include <algorithm>

// The steps of a commit_session that read the head, the manifest and the fragments that its submission is based on.

namespace merlinpier {

std::vector<commit_action> commit_session::state::didReadHead(
    std::optional<stored_object> const& object, time_point now, generator& source)
{
    auto parsedHead = parseHeadObject(object);
    if (parsedHead.isError())
        return fail(parsedHead.releaseFailure());
    if (auto const* own = m_head.find(m_submission.id)) {
        m_unresolvedUpdate.reset();
        return accept(*own);
    }
    if (m_unresolvedUpdate && m_headRevision < m_unresolvedUpdate->expectedRevision)
        return waitBeforeRetry(commit_phase::ReadingHead, now, source);
    if (m_unresolvedUpdate && m_headRevision > m_unresolvedUpdate->expectedRevision) {
        if (!m_head.listsVersion(m_unresolvedUpdate->version)) {
            return fail({ error_kind::OutcomeUnknown, "more submissions were accepted since than the head now lists",
                "compare the service's answers with yours (merlinpier show " + m_submission.service + ")" });
        }
        // Object revisions are never reused, so the update's condition can no longer hold and it cannot take effect.
        m_unresolvedUpdate.reset();
    }
    return readManifest(now);
}

result<empty> commit_session::state::parseHeadObject(std::optional<stored_object> const& object)
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
    if (m_head.version >= m_appliedSet->version())
        return empty {};
    return error { error_kind::Refused,
        "the platform's head is at version " + std::to_string(m_head.version) + ", but version "
            + std::to_string(m_appliedSet->version()) + " is applied here",
        "restore the platform's newest objects: daemons refuse versions below the one that they have applied" };
}

std::vector<commit_action> commit_session::state::readManifest(time_point now)
{
    if (m_head.version == 0) {
        m_baseManifest = {};
        return readFragments(now);
    }
    if (m_head.manifestDigest == m_appliedSet->digest()) {
        m_baseManifest = m_appliedSet->versionManifest();
        return readFragments(now);
    }
    return issueCalls(commit_phase::ReadingManifest, { manifestKey(m_head.manifestDigest) }, now);
}

std::vector<commit_action> commit_session::state::didReadManifest(
    std::optional<stored_object> const& object, time_point now)
{
    error const corrupt { error_kind::Corrupt,
        "the manifest of version " + std::to_string(m_head.version) + " is missing from the platform or damaged",
        "restore the object " + manifestKey(m_head.manifestDigest) };
    if (!object || contentDigest(object->value) != m_head.manifestDigest)
        return fail(corrupt);
    auto parsed = parseManifest(object->value);
    if (parsed.isError() || parsed.value().version != m_head.version)
        return fail(corrupt);
    m_baseManifest = parsed.releaseValue();
    return readFragments(now);
}

std::vector<commit_action> commit_session::state::readFragments(time_point now)
{
    // Without a base revision, the revision read first is the base, so that a later change is a conflict.
    if (!m_submission.baseRevision)
        m_submission.baseRevision = currentRevision();
    if (*m_submission.baseRevision != currentRevision())
        return fail(conflictError(m_submission.service, *m_submission.baseRevision, currentRevision()));
    std::set<std::string> missing;
    for (auto const& entry : m_baseManifest.entries) {
        if (!m_fragmentContents.contains(entry.digest))
            missing.insert(fragmentKey(entry.digest));
    }
    if (missing.empty())
        return buildNextVersion(now);
    return issueCalls(commit_phase::ReadingFragments, missing, now);
}

std::vector<commit_action> commit_session::state::didReadFragment(
    std::string const& key, std::optional<stored_object> const& object, time_point now, generator& source)
{
    if (!object || key != fragmentKey(contentDigest(object->value))) {
        return fail({ error_kind::Corrupt, "the object " + key + " is missing from the platform or damaged",
            "restore the object, or submit the answers of its service again on a daemon that has it" });
    }
    m_fragmentContents.emplace(contentDigest(object->value), object->value);
    if (!m_keysInFlight.empty())
        return {};
    if (!m_keysToRetry.empty())
        return waitBeforeRetry(m_phase, now, source);
    return buildNextVersion(now);
}

std::uint64_t commit_session::state::currentRevision() const
{
    for (auto const& entry : m_baseManifest.entries) {
        if (entry.service == m_submission.service)
            return entry.revision;
    }
    return 0;
}

std::vector<wire_fragment> commit_session::state::fragmentsOf(manifest const& versionManifest) const
{
    std::vector<wire_fragment> fragments;
    for (auto const& entry : versionManifest.entries) {
        auto const found = m_fragmentContents.find(entry.digest);
        if (found != m_fragmentContents.end())
            fragments.push_back({ entry.service, entry.digest, found->second });
    }
    return fragments;
}

// Removes the service's entry from the manifest, inserts the new one for Submit, and returns the entry with its new
// revision.
result<manifest_entry> commit_session::state::replaceEntry(manifest& versionManifest)
{
    auto const current = currentRevision();
    manifest_entry entry { m_submission.service,
        std::max(current, current == 0 ? versionManifest.revisionFloor : 0) + 1, "" };
    auto const isOwn = [&](manifest_entry const& candidate) {
        return candidate.service == entry.service;
    };
    versionManifest.entries.erase(std::remove_if(versionManifest.entries.begin(), versionManifest.entries.end(), isOwn),
        versionManifest.entries.end());
    if (m_submission.kind == submission_kind::Remove) {
        if (current == 0) {
            return error { error_kind::NotFound, "there is no service \"" + entry.service + "\" to remove",
                "list the services with merlinpier show" };
        }
        versionManifest.revisionFloor = std::max(versionManifest.revisionFloor, entry.revision);
        return entry;
    }
    auto content = serializeServiceConfiguration(generateServiceConfiguration(*m_submission.answers, entry.revision));
    entry.digest = contentDigest(content);
    m_newObjects.emplace(fragmentKey(entry.digest), content);
    m_fragmentContents.emplace(entry.digest, std::move(content));
    auto const position = std::find_if(versionManifest.entries.begin(), versionManifest.entries.end(),
        [&](manifest_entry const& candidate) { return candidate.service > entry.service; });
    versionManifest.entries.insert(position, entry);
    return entry;
}

result<std::string> commit_session::state::ownerOfRemovedService() const
{
    for (auto const& entry : m_baseManifest.entries) {
        if (entry.service == m_submission.service)
            return TRY(parseServiceConfiguration(m_fragmentContents.at(entry.digest))).answers.owner;
    }
    return std::string();
}

} // namespace merlinpier
