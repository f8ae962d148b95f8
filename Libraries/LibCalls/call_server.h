#pragma once

#include <LibCalls/admission_queue.h>
#include <LibCalls/attempt_identifier.h>
#include <LibCalls/call_ledger.h>
#include <LibCalls/crashing_requests.h>
#include <LibCalls/generation_fence.h>
#include <LibCalls/local_targets.h>
#include <LibCalls/target_trials.h>
#include <LibCore/time.h>
#include <LibRollout/run_evidence.h>
#include <LibWire/call_messages.h>
#include <LibWire/message.h>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace merlinpier {

// Whether the target's daemon limits the calls given to its targets. Unlimited is a measurement baseline.
enum class admission_policy { SlotsAndQueue, Unlimited };

struct call_server_settings {
    std::uint64_t instance { 0 };
    admission_policy admission { admission_policy::SlotsAndQueue };
    // Answers are kept until acknowledged, for at most this time and up to this total size.
    milliseconds answerRetention { 30000 };
    std::size_t maximumAnswerBytes { 16 * 1024 * 1024 };
    // A call is refused when its expected completion time is later than its deadline minus this margin.
    milliseconds deadlineMargin { 5 };
    std::uint32_t hopLimit { 8 };
    // Bandwidth of the VM's own link; 0 if it is not known.
    std::uint32_t linkMbps { 0 };
    // Queue limit per slot for targets whose service configures none.
    std::uint32_t queuedPerSlot { 2 };
    // The fence and the attempt numbers of an originating daemon's instance are dropped after this time without frames.
    milliseconds originRetention { 24 * 3600 * 1000 };
    // The order in which waiting calls are served.
    order_choice order { order_choice::Automatic };
};

// The originating daemon of a frame: the instance identifies one run of that daemon from start to exit, the generation
// one of its connections.
struct call_origin {
    std::uint64_t instance { 0 };
    std::uint64_t generation { 0 };

    bool operator==(call_origin const&) const = default;
};

// Asks the owner to send the call to its target over HTTP and to report with didFinish(), didRefuse() or didLose(). The
// id is that of the call, without the attempt number, since a call has at most one run at a time.
struct run_call {
    call_request call;
    std::string targetAddress;
    milliseconds timeout { 0 };
    bool operator==(run_call const&) const = default;
};
// Asks the owner to abort the HTTP exchange with the target; the slot is held until the end of the run is reported.
struct abort_call {
    std::string id;
    bool operator==(abort_call const&) const = default;
};
// Asks the owner to send a message to the originating daemon on its newest connection.
struct reply_to_origin {
    std::uint64_t instance { 0 };
    message content;
    // Set for an answer that may be large and late: when it is of no use any more.
    std::optional<time_point> bulkDeadline {};
    bool operator==(reply_to_origin const&) const = default;
};
// Asks the owner to find out whether the target still accepts connections, and to call didCheckTarget().
struct check_target {
    std::string target;
    std::string targetAddress;
    bool operator==(check_target const&) const = default;
};
using server_action = std::variant<run_call, abort_call, reply_to_origin, check_target>;

// Whether a target accepts connections. Unknown: the check gave no result.
enum class target_condition { Accepting, Refusing, Unknown };

// Load of one target, for the state dump.
struct target_load {
    std::uint32_t slots { 0 };
    std::uint32_t running { 0 };
    std::uint32_t queued { 0 };
    std::uint32_t loadPermille { 0 };
    // The limit on requests that the target has announced, in requests a second.
    std::optional<double> requestLimit;
    // How long work takes at the target now, in percent of the usual time; 0 if the target announces no pace.
    std::uint32_t pacePercent { 0 };
    admission_order order { admission_order::ObjectiveFirst };
    // With the service order: its decisions, the offered work by rank, and the tenants whose calls come after others.
    service_order_totals orderTotals;
    std::vector<rank_load> rankLoads;
    std::vector<std::string> tenantsBeyondShare;

    bool operator==(target_load const&) const = default;
};

// The target's daemon's side of calls. Admits each call at most once by means of its ledger, within the target's slots
// and a short queue that refuses calls at once if they cannot meet their deadline; keeps answers until they are
// acknowledged; and is the authority on the outcome of its calls. Does no I/O and has no clock, lock or random source.
class call_server {
public:
    explicit call_server(call_server_settings,
        std::shared_ptr<crashing_requests> = std::make_shared<crashing_requests>(),
        std::shared_ptr<run_evidence> = std::make_shared<run_evidence>());

    // An originating daemon completed the handshake of a connection: its frames of lower generations are refused from
    // now on.
    void raiseFence(call_origin const&, time_point now);
    std::vector<server_action> didReceiveCall(
        call_origin const&, call_request const&, local_targets const&, configuration_set const&, time_point now);
    std::vector<server_action> didReceiveCancel(call_origin const&, call_cancel const&, time_point now);
    void didReceiveAcknowledge(call_origin const&, call_acknowledge const&);
    std::vector<server_action> didReceiveQuery(call_origin const&, call_query const&, time_point now);

    // The target ran the call and its complete answer arrived.
    std::vector<server_action> didFinish(std::string const& id, call_answer, time_point now);
    // The request was not run and never will be: it did not reach the target, or the target refused it.
    std::vector<server_action> didRefuse(std::string const& id, refusal_reason, time_point now);
    // The request may have run; the target was lost before its answer was complete.
    std::vector<server_action> didLose(std::string const& id, time_point now);
    // The connection to the target ended before the answer was complete: the request may have run, and it may have
    // crashed the target. The call keeps its slot until the target has been checked.
    std::vector<server_action> didBreakOff(std::string const& id);
    // A target whose connections ended and that accepts none has crashed, unless it was leaving.
    std::vector<server_action> didCheckTarget(
        std::string const& target, target_condition, local_targets const&, time_point now);
    // The target announced a limit on the requests that it takes from all callers together, in requests a second, or
    // that it has none any more.
    std::vector<server_action> setRequestLimit(
        std::string const& target, std::optional<double> requestsPerSecond, time_point now);
    // The target announced in an answer how long work takes there, in percent of the usual time.
    void didAnnouncePace(std::string const& target, std::uint32_t percent, time_point now);
    // Returns the targets for which the service order has come into force since the last call, for the log.
    std::vector<std::string> takeNewlyOrdered() { return std::exchange(m_newlyOrdered, {}); }
    // The target announced in an answer how many calls it runs and queues. Soon after the start of this process, those
    // beyond its own were begun by an earlier process, and hold slots of the target.
    void didAnnounceLoad(std::string const& target, std::uint32_t calls, time_point now);
    // A call that a target of this VM made has failed; a run that reports a failure soon after has failed because of
    // it.
    void didFailInnerCall(time_point now) { m_lastInnerFailure = now; }
    // The target accepts no new work: its queued calls are refused, so that they can run elsewhere.
    std::vector<server_action> didStartDraining(std::string const& target, time_point now);
    // Refuses queued calls that can no longer meet their deadline, starts others in free slots, and drops ledger
    // entries and fences whose retention has expired.
    std::vector<server_action> tick(time_point now);

    std::size_t running() const;
    // The share of the running calls that are retries; 0 if none runs.
    double retriedShare() const;
    std::size_t queued() const;
    // Number of calls that are running, queued, or have an unacknowledged answer; a planned stop waits until it is 0.
    std::size_t unsettled() const;
    // How many bytes wait on the VM's links with other daemons, before the next call arrives.
    void setLinkBacklog(std::size_t bytes) { m_linkBacklog = bytes; }
    // Bulk calls refused because the VM's link could not send their answers in time.
    std::uint64_t linkRefusals() const { return m_linkRefusals; }
    std::map<std::string, target_load> loads(time_point now) const;
    // What the target's queue would decide about the call; nothing if the target has had no call here.
    std::optional<admission_outlook> outlook(std::string const& target, admission_request const&, time_point now) const;

private:
    // Retry-after time of refusals that are not caused by load: routes are usually updated by then.
    static constexpr milliseconds retryAfterRouteChange { 100 };

    void useServiceOrder(std::string const& target);
    static admission_request admissionRequest(call_request const&, time_point deadline, time_point objective);
    admission_queue& queueOf(call_request const&, service_configuration const&, target_announcement const&);
    bool wasAdmitted(call_waiter const&, attempt_identifier const&, time_point now);
    bool handleKnownAttempt(call_origin const&, attempt_identifier const&, call_request const&, time_point now,
        std::vector<server_action>&);
    bool joinEarlierRun(call_origin const&, attempt_identifier const&, call_request const&, time_point now,
        std::vector<server_action>&);
    std::optional<refusal_reason> reasonToRefuse(
        call_request const&, local_targets const&, configuration_set const&) const;
    void refuse(call_waiter const&, call_request const&, refusal_reason, milliseconds retryAfter, time_point now,
        std::vector<server_action>&);
    void refuseWaiters(
        std::string const& call, refusal_reason, milliseconds retryAfter, time_point now, std::vector<server_action>&);
    void apply(std::vector<admission_decision> const&, time_point now, std::vector<server_action>&);
    // Offers the call to the target's queue, or holds it if it is a trial and another one is under way there.
    void offer(ledger_entry const&, time_point now, std::vector<server_action>&);
    void lose(std::string const& id, time_point now, std::vector<server_action>&);
    // Starts the next trials of targets whose trial has ended, and refuses held calls that must not run any more.
    void continueTrials(time_point now, std::vector<server_action>&);
    // Counts a run that has ended as evidence about the target's version.
    void countRun(ledger_entry const&, run_ending, time_point now);
    void blameRuns(std::string const& target, time_point now);
    void reply(ledger_entry const&, call_waiter const&, time_point now, std::vector<server_action>&) const;
    void releaseHeldSlots(time_point now);
    call_status statusOf(call_origin const&, std::string const& attempt, time_point now);
    void withdrawQueued(std::string const& call, time_point now, std::vector<server_action>&);
    // Removes a call that waits for a slot, if nobody else waits for it as well, and notes that it will never run.
    void recall(call_origin const&, std::string const& attempt, time_point now, std::vector<server_action>&);
    std::uint32_t loadOf(std::string const& target, time_point now) const;
    std::uint32_t serviceUsOf(call_request const&) const;
    std::uint32_t pacePercentOf(std::string const& target, time_point now) const;
    void learnAnswerSize(call_request const&, call_answer const&);
    // Expected size of the answer to a bulk call of the kind; 0 until one has been seen.
    std::size_t expectedAnswerBytes(std::string const& kind) const;
    // If the VM's link cannot send the answer of a bulk call in time, by how much too late it would be.
    std::optional<milliseconds> linkShortFor(call_origin const&, call_request const&) const;

    call_server_settings m_settings;
    call_ledger m_ledger;
    std::size_t m_linkBacklog { 0 };
    std::uint64_t m_linkRefusals { 0 };
    // Of the answers to bulk calls, by kind.
    std::map<std::string, double> m_meanAnswerBytes;
    std::shared_ptr<crashing_requests> m_crashing;
    std::shared_ptr<run_evidence> m_evidence;
    target_trials m_trials;
    // Targets that are being checked.
    std::set<std::string> m_checked;
    generation_fence m_fence;
    std::map<std::string, admission_queue> m_queues;
    std::vector<std::string> m_newlyOrdered;
    std::uint64_t m_version { 0 };
    std::optional<time_point> m_lastInnerFailure;
    // The time of the first tick, and the slots by target that are left to calls of an earlier process.
    std::optional<time_point> m_startedAt;
    std::map<std::string, std::uint32_t> m_heldSlots;
};

} // namespace merlinpier
