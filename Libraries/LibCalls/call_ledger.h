#pragma once

#include <LibCore/time.h>
#include <LibWire/call_messages.h>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace merlinpier {

// An attempt whose answer an originating daemon waits for, with the instance of that daemon.
struct call_waiter {
    std::uint64_t instance { 0 };
    std::string attempt;

    bool operator==(call_waiter const&) const = default;
};

// State of a call at its target. An expired call has run, but its answer is no longer kept.
enum class run_state { Queued, Running, Finished, Lost, Expired };

// One admitted call, with every attempt of it that waits for the answer.
struct ledger_entry {
    call_request call;
    run_state state { run_state::Queued };
    bool isKeyed { false };
    // requestFingerprint() of the call, and whether it runs apart from other suspects.
    std::uint64_t request { 0 };
    bool isTrial { false };
    // Whether the connection to the target ended during the run, so that the target is being checked.
    bool isBroken { false };
    // Start time of the target's incarnation.
    std::uint64_t targetStart { 0 };
    std::vector<call_waiter> waiters;
    // HTTP address of the target.
    std::string targetAddress;
    std::optional<call_answer> answer;
    time_point deadline {};
    // Time by which the call should complete to meet its latency objective; the epoch if it has none.
    time_point objective {};
    // When its run began.
    time_point startedAt {};
    // When the call ended, and how long its entry stays in the ledger after that.
    time_point endedAt {};
    duration retention { 0 };

    bool hasEnded() const { return state != run_state::Queued && state != run_state::Running; }
};

// The calls that a target's daemon has admitted, by call identifier. An entry is removed when every attempt has
// acknowledged its answer or when its retention has expired; the entry of a keyed call only by the latter, since its
// caller may repeat the request.
class call_ledger {
public:
    explicit call_ledger(std::size_t maximumAnswerBytes);

    ledger_entry* find(std::string const& call);
    // Returns the entry of the call if the attempt is among its waiters, otherwise nullptr.
    ledger_entry* findWaiter(call_waiter const&, std::string const& call);
    ledger_entry& add(std::string const& call, ledger_entry);
    // Stores the answer of a call; the oldest answers are dropped if the size limit is exceeded.
    void finish(std::string const& call, call_answer, time_point now);
    void markLost(ledger_entry&, time_point now);
    // The attempt no longer needs the answer.
    void release(call_waiter const&, std::string const& call);
    void erase(std::string const& call);
    // Drops entries whose retention has expired. Scans at most once a second, so that it may be called often.
    void expire(time_point now);

    std::size_t size() const { return m_entries.size(); }
    // Number of calls that are running, queued, or have an unacknowledged answer.
    std::size_t unsettled() const;
    // The calls that run at the target.
    std::vector<std::string> runningAt(std::string const& target) const;
    // Number of running calls that are retries.
    std::size_t runningRetries() const;
    // Number of bulk calls by kind that have no answer yet, without those that only the instance itself waits for.
    std::map<std::string, std::size_t> unansweredBulk(std::uint64_t ownInstance) const;
    std::size_t answerBytes() const { return m_answerBytes; }

private:
    void dropAnswer(ledger_entry&);
    void dropOldestAnswers();

    std::size_t m_maximumAnswerBytes;
    std::size_t m_answerBytes { 0 };
    std::map<std::string, ledger_entry> m_entries;
    // Calls in the order in which they were answered; some may have been removed from the ledger since.
    std::deque<std::string> m_answered;
    time_point m_nextExpiry {};
};

} // namespace merlinpier
