"""Checks the promises of the product against what callers and targets saw."""

import bisect
from collections import Counter, defaultdict

# From the users' settings; see fleet.SETTINGS.
APPLY_S = 2.0
DRAIN_S = 2.0
STABLE_S = 3.0
LOSS_SLACK_S = 0.2
BUDGET_RATIO = 0.2
BUDGET_MINIMUM = 56
BUDGET_WINDOW_S = 10.0
# Between SIGTERM and the end of a daemon.
GRACE_S = 6.0
# A daemon ends when it is asked to, or is killed.
EXPECTED_ENDS = (0, -9)
# A deadline may be handed to a target longer by this much than the caller set it.
DEADLINE_SLACK_S = 0.5
# A target that names a limit gets at most this many times what it allows, and so many requests more, in each window.
LIMIT_FACTOR = 1.5
LIMIT_EXTRA = 5
LIMIT_WINDOW_S = 4.0
# A request that has crashed so many targets is sent to targets at most so many times more.
CRASHES = 3
RUNS_AFTER_CRASHES = 3
NOT_RUN = (408, 421, 429, 503)


class History:
    def __init__(self):
        # By attempt: what was sent, what came back, and where and when it ran.
        self.sent = {}
        self.outcomes = {}
        self.runs = defaultdict(list)
        # When the daemon of a target's VM acknowledged that the target leaves, by instance.
        self.leaving = {}
        # When a target first said in an answer that it leaves, by instance.
        self.leaving_named = {}
        # When requests reached each instance, those included that it turned away.
        self.arrivals = defaultdict(list)
        # When targets ended under a request that crashes them, by path.
        self.crashes = defaultdict(list)
        # Dictionaries with vm, instance, limit, at and until: who named which limit, first and last.
        self.limits = []
        # Dictionaries with vm, code, at, started and stopped: how a daemon ended, and when it had been asked to.
        self.ends = []
        # (begin, end, vm or None for all, is planned)
        self.harm = []
        # (acknowledged, number, service that the moved route leads to)
        self.versions = []
        # (at, vm, incarnation, number, status) of requests that show which version a daemon has.
        self.probes = []

    def is_calm(self, vm, begin, end, planned=False):
        """Whether nothing harmed the VM, the store or the links from STABLE_S before; planned work counts if asked."""
        return not any(
            (not work or planned) and where in (None, vm) and start <= end and stop >= begin - STABLE_S
            for start, stop, where, work in self.harm)

    def is_calm_everywhere(self, begin, end):
        """Whether no unplanned harm was done anywhere."""
        return not any(not work and start <= end and stop >= begin - STABLE_S for start, stop, _, work in self.harm)


def violations(history):
    """Returns (promise, what was seen) for each broken promise."""
    found = []
    for check in (whole_answers, at_most_once, true_refusals, unasked, drained, left_alone, limited, contained, planned_stops, ends,
                  never_back, in_force, retry_budget):
        found += [(check.__name__, what) for what in check(history)]
    return found


def whole_answers(history):
    for attempt, outcome in history.outcomes.items():
        if outcome["status"] is not None and 200 <= outcome["status"] < 300 and not outcome["valid"]:
            yield f"{attempt} got a success that is not its target's whole answer: {outcome}"


def at_most_once(history):
    for attempt, runs in history.runs.items():
        sent = history.sent.get(attempt)
        if sent and not sent["idempotent"] and len(runs) > 1:
            yield f"{attempt} is not idempotent and ran {len(runs)} times: {runs}"


def true_refusals(history):
    for attempt, outcome in history.outcomes.items():
        if outcome["status"] in NOT_RUN and not history.sent[attempt]["idempotent"] and history.runs.get(attempt):
            yield f"{attempt} was answered {outcome['status']} and ran: {history.runs[attempt]}"


def unasked(history):
    for attempt, runs in history.runs.items():
        sent = history.sent.get(attempt)
        for run in runs:
            if not sent:
                yield f"{attempt} ran and nobody sent it: {run}"
            elif (run["method"], run["target"], run["body"]) != (sent["method"], sent["target"], sent["body"]):
                yield f"{attempt} ran changed: sent {sent}, ran {run}"
            elif run["caller"] != sent["caller"]:
                yield f"{attempt} ran as from {run['caller']}, not {sent['caller']}"
            elif run["service"] not in sent["services"]:
                yield f"{attempt} ran at {run['service']}, where no version led it"
            elif run["deadline"] / 1000 > sent["deadline"] + DEADLINE_SLACK_S:
                yield f"{attempt} was handed {run['deadline']} ms of {sent['deadline']} s"


def drained(history):
    for attempt, runs in history.runs.items():
        for run in runs:
            left = history.leaving.get(run["instance"])
            if left and run["at"] > left + DRAIN_S:
                yield f"{attempt} ran {run['at'] - left:.2f} s after {run['instance']} was acknowledged to leave"


def left_alone(history):
    for instance, named in history.leaving_named.items():
        for at in history.arrivals[instance]:
            if at > named + DRAIN_S:
                yield f"a request reached {instance} {at - named:.2f} s after it had said in an answer that it leaves"


def limited(history):
    for limit in history.limits:
        allowed = LIMIT_FACTOR * limit["limit"] * LIMIT_WINDOW_S + LIMIT_EXTRA
        arrivals = sorted(at for at in history.arrivals[limit["instance"]] if limit["at"] + STABLE_S <= at <= limit["until"])
        for first, begin in enumerate(arrivals):
            count = bisect.bisect_left(arrivals, begin + LIMIT_WINDOW_S) - first
            if count > allowed and history.is_calm(limit["vm"], begin, begin + LIMIT_WINDOW_S, True):
                yield f"{limit['instance']} got {count} requests in {LIMIT_WINDOW_S:.0f} s, allowed {allowed:.0f}: {limit}"
                break


def contained(history):
    for target, crashes in history.crashes.items():
        if len(crashes) < CRASHES:
            continue
        known = sorted(crashes)[CRASHES - 1] + STABLE_S
        late = [run["at"] for attempt, runs in history.runs.items() for run in runs
                if run["target"] == target and run["at"] > known
                and history.is_calm(history.sent[attempt]["vm"], run["at"], run["at"], True)]
        if len(late) > RUNS_AFTER_CRASHES:
            yield f"{target} ran {len(late)} times after it had crashed {CRASHES} targets; {len(crashes)} ended in all"


def planned_stops(history):
    for attempt, outcome in history.outcomes.items():
        sent = history.sent[attempt]
        if outcome["status"] is not None or not outcome["is_cut"]:
            continue
        # What was sent behind an answer that closes the connection counts as not read, unless it has run.
        if outcome.get("is_behind_close") and not history.runs.get(attempt):
            continue
        held = outcome["at"] - sent["at"]
        has_run = bool(history.runs.get(attempt))
        if (has_run or held > LOSS_SLACK_S) and history.is_calm_everywhere(sent["at"], outcome["at"]):
            yield f"{attempt} to {sent['vm']} was cut after {held:.2f} s, with nothing but planned work"


def ends(history):
    for end in history.ends:
        if end["code"] not in EXPECTED_ENDS:
            age = f"{end['at'] - end['started']:.3f} s after its start"
            yield f"the daemon of {end['vm']} ended by itself with code {end['code']}, {age}"
        stopped = end["stopped"]
        if stopped and end["at"] - stopped > GRACE_S and history.is_calm(end["vm"], stopped, end["at"]):
            yield f"the daemon of {end['vm']} ended {end['at'] - stopped:.2f} s after it was asked to stop"


def never_back(history):
    highest = defaultdict(int)
    for at, vm, incarnation, number, status in sorted(history.probes):
        key = (vm, incarnation)
        if status == 404 and number <= highest[key]:
            yield f"{vm} (start {incarnation}) had version {highest[key]} and answers as before {number} at {at:.2f}"
        elif status not in (None, 404, 503):
            highest[key] = max(highest[key], number)


def in_force(history):
    acknowledged = {number: at for at, number, _ in history.versions}
    for at, vm, _, number, status in history.probes:
        if status == 404 and at > acknowledged[number] + APPLY_S and history.is_calm(vm, acknowledged[number], at, True):
            yield f"{vm} lacks version {number} {at - acknowledged[number]:.2f} s after its acknowledgement"


def retry_budget(history):
    arrivals = defaultdict(list)
    for attempt, runs in history.runs.items():
        for run in sorted(runs, key=lambda run: run["at"])[1:]:
            arrivals[run["service"]].append(run["at"])
    requests = defaultdict(list)
    for sent in history.sent.values():
        for service in sent["services"]:
            requests[service].append(sent["at"])
    for service, repeats in arrivals.items():
        repeats.sort()
        asked = sorted(requests[service])
        for first, begin in enumerate(repeats):
            count = bisect.bisect_right(repeats, begin + BUDGET_WINDOW_S) - first
            window = bisect.bisect_right(asked, begin + BUDGET_WINDOW_S) - bisect.bisect_left(asked, begin)
            before = bisect.bisect_right(asked, begin) - bisect.bisect_left(asked, begin - BUDGET_WINDOW_S)
            if count > BUDGET_RATIO * max(window, before) + BUDGET_MINIMUM:
                yield f"{service} got {count} repeats within {BUDGET_WINDOW_S:.0f} s from {begin:.2f} on"


def summary(history):
    statuses = Counter(str(outcome["status"]) for outcome in history.outcomes.values())
    return {"requests": len(history.sent), "runs": sum(map(len, history.runs.values())),
            "repeats": sum(len(runs) - 1 for runs in history.runs.values()), "statuses": dict(statuses),
            "versions": len(history.versions), "probes": len(history.probes), "limits": len(history.limits),
            "leaving": len(history.leaving_named), "crashes": sum(map(len, history.crashes.values()))}
