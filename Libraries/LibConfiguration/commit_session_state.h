#pragma once

#include <LibConfiguration/commit_session.h>
#include <LibConfiguration/retry_back_off.h>
#include <map>
#include <set>

namespace merlinpier {

// What a commit_session is waiting for.
enum class commit_phase { ReadingHead, ReadingManifest, ReadingFragments, WritingObjects, WritingHead, Finished };

// An update of the head whose answer was lost.
struct unresolved_update {
    std::uint64_t expectedRevision { 0 };
    version_number version { 0 };
};

// The state machine behind commit_session, private to its sources: it reads the head and what hangs on it, builds the
// next version, writes its objects and then the head.
struct commit_session::state {
    using actions = std::vector<commit_action>;

    static constexpr milliseconds firstBackOffBound { 50 };
    static constexpr milliseconds longestBackOffBound { 2000 };

    state(submission, time_point, std::shared_ptr<configuration_set const>);

    actions start(time_point);
    actions didRead(std::string const& key, result<std::optional<stored_object>> const&, time_point, generator&);
    actions didWrite(std::string const& key, result<stored_object> const&, time_point, generator&);
    actions tick(time_point, generator&);

private:
    actions readHead(time_point);
    actions didReadHead(std::optional<stored_object> const&, time_point, generator&);
    result<empty> takeHead(std::optional<stored_object> const&);
    actions readManifest(time_point);
    actions didReadManifest(std::optional<stored_object> const&, time_point);
    actions readFragments(time_point);
    actions didReadFragment(std::string const& key, std::optional<stored_object> const&, time_point, generator&);
    actions build(time_point);
    result<manifest_entry> replaceEntry(manifest&);
    result<std::string> ownerOfRemoved() const;
    actions writeObjects(time_point);
    actions writeHead(time_point);
    actions didWriteObject(std::string const& key, result<stored_object> const&, time_point, generator&);
    actions didReadDoubtful(std::string const& key, bool isThere, time_point, generator&);
    actions didSettleObject(time_point, generator&);
    actions didWriteHead(result<stored_object> const&, time_point, generator&);

    actions issue(commit_phase, std::set<std::string> const& keys, time_point);
    commit_action callFor(std::string const& key) const;
    actions didFailCall(std::string const& key, error const&, time_point, generator&);
    actions waitBeforeRetry(commit_phase, time_point, generator&);
    actions accept(accepted_submission const&);
    actions fail(error);
    actions failAtDeadline();
    bool mayHaveCommitted() const;
    std::uint64_t currentRevision() const;
    std::vector<wire_fragment> fragmentsOf(manifest const&) const;

    submission m_request;
    time_point m_deadline;
    std::shared_ptr<configuration_set const> m_known;
    commit_phase m_phase { commit_phase::ReadingHead };
    retry_back_off m_backOff { firstBackOffBound, longestBackOffBound };

    // Calls under way, and calls that failed and are repeated when the wait is over.
    std::set<std::string> m_pending;
    std::set<std::string> m_failed;
    std::optional<time_point> m_wakeAt;
    std::optional<error> m_lastError;

    // What the last read head says.
    std::uint64_t m_headRevision { 0 };
    configuration_head m_head;
    manifest m_base;
    std::map<std::string, std::string> m_fragments;

    // The version to come.
    std::map<std::string, std::string> m_newObjects;
    std::set<std::string> m_writtenKeys;
    // Objects whose write may have taken effect: they are looked for before they are sent again.
    std::set<std::string> m_doubtfulKeys;
    std::string m_nextHead;
    accepted_submission m_accepted;
    std::optional<unresolved_update> m_unresolved;
    unsigned m_lostRaces { 0 };
};

} // namespace merlinpier
