#pragma once

#include <LibConfiguration/commit_session.h>
#include <LibConfiguration/retry_back_off.h>
#include <map>
#include <set>

namespace merlinpier {

// The step that a commit_session is performing.
enum class commit_phase { ReadingHead, ReadingManifest, ReadingFragments, WritingObjects, WritingHead, Finished };

// An update of the head whose outcome is unknown because its answer was lost.
struct unresolved_update {
    std::uint64_t expectedRevision { 0 };
    version_number version { 0 };
};

// The state machine behind commit_session, private to its sources: it reads the head, the manifest and the fragments,
// builds the next version, writes its objects and then updates the head.
struct commit_session::state {
    using actions = std::vector<commit_action>;

    static constexpr milliseconds initialBackOffBound { 50 };
    static constexpr milliseconds maximumBackOffBound { 2000 };

    state(submission, time_point, std::shared_ptr<configuration_set const>);

    actions start(time_point);
    actions didRead(std::string const& key, result<std::optional<stored_object>> const&, time_point, generator&);
    actions didWrite(std::string const& key, result<stored_object> const&, time_point, generator&);
    actions tick(time_point, generator&);

private:
    actions readHead(time_point);
    actions didReadHead(std::optional<stored_object> const&, time_point, generator&);
    result<empty> parseHeadObject(std::optional<stored_object> const&);
    actions readManifest(time_point);
    actions didReadManifest(std::optional<stored_object> const&, time_point);
    actions readFragments(time_point);
    actions didReadFragment(std::string const& key, std::optional<stored_object> const&, time_point, generator&);
    actions buildNextVersion(time_point);
    result<manifest_entry> replaceEntry(manifest&);
    result<std::string> ownerOfRemovedService() const;
    actions writeObjects(time_point);
    actions writeHead(time_point);
    actions didWriteObject(std::string const& key, result<stored_object> const&, time_point, generator&);
    actions didReadUnconfirmed(std::string const& key, bool exists, time_point, generator&);
    actions continueWritingObjects(time_point, generator&);
    actions didWriteHead(result<stored_object> const&, time_point, generator&);

    actions issueCalls(commit_phase, std::set<std::string> const& keys, time_point);
    commit_action makeCall(std::string const& key) const;
    actions didFailCall(std::string const& key, error const&, time_point, generator&);
    actions waitBeforeRetry(commit_phase, time_point, generator&);
    actions accept(accepted_submission const&);
    actions fail(error);
    actions failAtDeadline();
    bool mayHaveCommitted() const;
    std::uint64_t currentRevision() const;
    std::vector<wire_fragment> fragmentsOf(manifest const&) const;

    submission m_submission;
    time_point m_deadline;
    std::shared_ptr<configuration_set const> m_appliedSet;
    commit_phase m_phase { commit_phase::ReadingHead };
    retry_back_off m_backOff { initialBackOffBound, maximumBackOffBound };

    // Keys of the calls in flight, and of failed calls to be retried after the back-off delay.
    std::set<std::string> m_keysInFlight;
    std::set<std::string> m_keysToRetry;
    std::optional<time_point> m_retryAt;
    std::optional<error> m_lastError;

    // The head as last read, with its manifest and the contents of fragments by digest.
    std::uint64_t m_headRevision { 0 };
    configuration_head m_head;
    manifest m_baseManifest;
    std::map<std::string, std::string> m_fragmentContents;

    // The version being built, and the keys of its objects that are known to be stored.
    std::map<std::string, std::string> m_newObjects;
    std::set<std::string> m_writtenKeys;
    // Objects whose write may have taken effect; they are read back before they are written again.
    std::set<std::string> m_unconfirmedKeys;
    std::string m_nextHeadContent;
    // The entry for this submission in the next head. It is accepted once that head is written.
    accepted_submission m_accepted;
    std::optional<unresolved_update> m_unresolvedUpdate;
    unsigned m_headConflicts { 0 };
};

} // namespace merlinpier
