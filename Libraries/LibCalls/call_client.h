#pragma once

#include <LibCalls/acknowledgement_batch.h>
#include <LibCalls/call_outcome.h>
#include <LibCalls/call_record.h>
#include <LibCalls/caller_request.h>
#include <LibCalls/elapsed_time_estimator.h>
#include <LibCore/generator.h>
#include <LibCore/time.h>
#include <LibRouting/retry_budgets.h>
#include <LibRouting/target_chooser.h>
#include <LibWire/message.h>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace merlinpier {

// When the first daemon tries a call again. Always is a baseline to measure against.
enum class retry_policy { ProvenOrIdempotent, Always };

struct call_client_settings {
    retry_policy retries { retry_policy::ProvenOrIdempotent };
    std::uint32_t maximumAttempts { 4 };
    // A call sent to a link that does not get ready in this time is taken back and sent elsewhere.
    milliseconds linkTimeout { 500 };
    // How long a lost link's daemon is asked before the outcome counts as unknown.
    milliseconds queryTimeout { 900 };
    std::uint32_t hopLimit { 8 };
    // A ledger's "never admitted" is believed for this long after the call was sent. It must be shorter than the time
    // for which ledgers remember calls (call_server_settings::answerRetention), or a call that ran and was forgotten
    // would be taken for one that did not run.
    milliseconds neverAdmittedValidity { 20000 };
    // Whether a failure that a target answered an idempotent call with is tried again elsewhere. Such answers carry a
    // status of 500 or above.
    bool retriesFailures { false };
    // The bound on retries that all daemons share, if there is one; otherwise the answers of each service give it.
    std::optional<shared_budget_settings> sharedBudget;
};

// Asks the owner to send the call to the daemon as soon as its link is ready, filling in the link's generation and
// reporting by didSend(); until then the call can be taken back. Its id is that of the attempt.
struct dispatch_call {
    std::string address;
    call_request call;
    bool operator==(dispatch_call const&) const = default;
};
// Asks the owner to send a message about a call on the link to the daemon, if it is ready.
struct send_to_target {
    std::string address;
    std::variant<call_cancel, call_acknowledge, call_query> content;
    bool operator==(send_to_target const&) const = default;
};
// Asks the owner to drop a dispatched call that has not been sent yet. The owner reports didSend() before it handles
// any later action, so that a call is never both sent and taken back.
struct withdraw_dispatch {
    std::string address;
    std::string id;
    bool operator==(withdraw_dispatch const&) const = default;
};
// The call's final answer, given once.
struct complete_call {
    std::string id;
    final_outcome outcome;
    bool operator==(complete_call const&) const = default;
};
using client_action = std::variant<dispatch_call, send_to_target, withdraw_dispatch, complete_call>;

struct call_client_totals {
    std::uint64_t calls { 0 };
    std::uint64_t answered { 0 };
    std::uint64_t notRun { 0 };
    std::uint64_t unknown { 0 };
    std::uint64_t retries { 0 };
    std::uint64_t queries { 0 };

    bool operator==(call_client_totals const&) const = default;
};

// The first daemon's side of calls: chooses targets, sends, retries what is proven not run or idempotent within the
// budget and the deadline, asks about calls whose link was lost, and gives every call one final outcome as soon as it
// is known. Holds no I/O, clock, lock or random source of its own.
class call_client {
public:
    call_client(call_client_settings, chooser_settings);

    void setSnapshot(std::shared_ptr<routing_snapshot const>, time_point now);
    // How many daemons share the retry budgets.
    void setDaemons(std::size_t count) { m_budgets.setDaemons(count); }
    // Takes in a request. One whose id is in progress, as a repeated key is, joins that call: a single complete_call
    // answers both callers.
    std::vector<client_action> start(caller_request, time_point now, generator&);
    // The caller has gone; no complete_call follows unless another caller waits for the same id.
    std::vector<client_action> cancel(std::string const& id, time_point now);
    // The frame of a dispatched call was handed to a link of this generation. The id is that of the attempt.
    void didSend(std::string const& id, std::string const& address, std::uint64_t generation, time_point now);
    // A call_answer, call_refused, call_lost or call_query_answer arrived from the daemon.
    std::vector<client_action> didReceive(std::string const& address, message const&, time_point now, generator&);
    // The link to a daemon is ready with this generation; calls sent on lower ones are asked about.
    std::vector<client_action> didBecomeReady(
        std::string const& address, std::uint64_t instance, std::uint64_t generation, time_point now, generator&);
    // The daemon cannot be reached: what was sent there has an unknown outcome, what was not is sent elsewhere.
    std::vector<client_action> didBecomeUnreachable(std::string const& address, time_point now, generator&);
    std::vector<client_action> tick(time_point now, generator&);

    // Calls sent to the daemon and not yet ended, for the link's silence detection.
    std::size_t outstanding(std::string const& address) const;
    std::size_t unsettled() const;
    call_client_totals const& totals() const { return m_totals; }
    target_chooser const& chooser() const { return m_chooser; }

private:
    using actions = std::vector<client_action>;
    // When to come back to a service that has no target at all: by then one may have been announced.
    static constexpr std::uint32_t retryAfterNoTargetMs = 1000;
    // What the end of an attempt shows about its target.
    struct attempt_ending {
        attempt_outcome outcome { attempt_outcome::Answered };
        std::optional<std::uint32_t> loadPermille;
        // What the target has lately needed for calls of the kind; 0 if not told.
        std::uint32_t serviceUs { 0 };
    };

    // A refusal as a final answer, with its text and a time to come back that is never 0.
    static call_not_run notRun(refusal_reason, std::uint32_t retryAfterMs);
    call_record* findByAttempt(std::string const& attempt);
    bool joinInProgress(caller_request const&);
    // Sets deadline and objective of a new call.
    void setDeadlineAndObjective(call_record&, time_point now);
    std::optional<route_target> chooseTarget(call_record const&, time_point now, generator&) const;
    call_not_run refusalForNoTarget(call_record const&, time_point now) const;
    call_demand demandOf(call_record const&, time_point now) const;
    // Learns what calls of the kind carry.
    void updateMeanSize(call_record const&, call_answer const&);
    // The failure is tried elsewhere if that is allowed; false if it is the final answer.
    bool retryFailure(call_record&, call_answered const&, time_point now, generator&, actions&);
    void send(call_record&, time_point now, generator&, actions&);
    // Whether the call is to be refused by the target unless it can begin at once.
    bool isProbe(call_record const&, route_target const&, time_point now) const;
    call_request makeCall(call_record const&, route_target const&, time_point now) const;
    void endAttempt(call_record&, attempt_ending, time_point now);
    bool hasAttemptsLeft(call_record const&, time_point now) const;
    bool tryConsumeBudget(call_record const&, time_point now);
    bool shouldRetry(call_record const&, refusal_reason, time_point now, generator&) const;
    void retryNotRun(call_record&, attempt_ending, call_not_run, time_point now, generator&, actions&);
    void retryUnreachable(call_record&, time_point now, generator&, actions&);
    void retryLost(call_record&, std::string message, time_point now, generator&, actions&);
    void complete(call_record&, final_outcome, actions&);
    void expire(call_record&, time_point now, actions&);
    void cancelAttempt(call_record&, time_point now, actions&);

    void handle(std::string const& address, call_answer const&, time_point now, generator&, actions&);
    void handle(std::string const& address, call_refused const&, time_point now, generator&, actions&);
    void handle(std::string const& address, call_lost const&, time_point now, generator&, actions&);
    void handle(std::string const& address, call_query_answer const&, time_point now, generator&, actions&);
    void handleStatus(std::string const& address, call_status const&, time_point now, generator&, actions&);
    void handleNeverAdmitted(call_record&, time_point now, generator&, actions&);
    std::vector<std::string> callsAt(std::string const& address) const;

    call_client_settings m_settings;
    target_chooser m_chooser;
    std::shared_ptr<routing_snapshot const> m_snapshot;
    std::map<std::string, call_record> m_calls;
    // The call of each attempt that has not ended.
    std::map<std::string, std::string> m_attempts;
    // Attempts sent and not ended, by address of the daemon.
    std::map<std::string, std::size_t> m_outstanding;
    retry_budgets m_budgets;
    elapsed_time_estimator m_elapsedTimes;
    acknowledgement_batch m_acknowledgements;
    std::uint64_t m_lastAttempt { 0 };
    // Mean bytes of request and answer by kind.
    std::map<std::string, double> m_meanBytesByKind;
    call_client_totals m_totals;
};

} // namespace merlinpier
