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

// An attempt that a first daemon waits for.
struct call_waiter {
    std::uint64_t instance { 0 };
    std::string attempt;

    bool operator==(call_waiter const&) const = default;
};

// How far a call has come at its target. An expired one ran, but its answer is kept no more.
enum class run_state { Queued, Running, Finished, Lost, Expired };

// One call by its identifier, with every attempt of it that waits for the answer.
struct ledger_entry {
    call_request call;
    run_state state { run_state::Queued };
    bool isKeyed { false };
    std::vector<call_waiter> waiters;
    // HTTP address of the target.
    std::string targetAddress;
    std::optional<call_answer> answer;
    time_point deadline {};
    // When it left Running, and how long it stays in the ledger from then on.
    time_point endedAt {};
    duration retention { 0 };

    bool hasEnded() const { return state != run_state::Queued && state != run_state::Running; }
};

// The calls that a target's daemon has admitted, by identifier of the call. An entry leaves when every attempt has
// acknowledged its answer or when its retention is over; a keyed one only by the latter, since its caller may repeat
// it.
class call_ledger {
public:
    explicit call_ledger(std::size_t maximumAnswerBytes);

    ledger_entry* find(std::string const& call);
    // The entry that the attempt waits for, if it does.
    ledger_entry* findWaiter(call_waiter const&, std::string const& call);
    ledger_entry& add(std::string const& call, ledger_entry);
    void finish(std::string const& call, call_answer, time_point now);
    void markLost(ledger_entry&, time_point now);
    // The attempt needs the answer no more.
    void release(call_waiter const&, std::string const& call);
    void erase(std::string const& call);
    // Drops entries whose retention is over. Looks at them once a second at most, so that it may be called often.
    void expire(time_point now);

    std::size_t size() const { return m_entries.size(); }
    // Calls that run, wait, or whose answers are still to be fetched.
    std::size_t unsettled() const;
    std::size_t answerBytes() const { return m_answerBytes; }

private:
    void dropAnswer(ledger_entry&);
    void dropOldestAnswers();

    std::size_t m_maximumAnswerBytes;
    std::size_t m_answerBytes { 0 };
    std::map<std::string, ledger_entry> m_entries;
    // Calls in the order in which they were answered; some may have left the ledger since.
    std::deque<std::string> m_answered;
    time_point m_nextExpiry {};
};

} // namespace merlinpier
