"""Checks the eight properties of the brief after a fault run, from the records of callers, operators and backend
servers."""

import bisect
import json
import os
from collections import Counter, defaultdict

from local_cluster import http

CLOCK_SLACK_SECONDS = 0.2  # between a signal and the time that another process records for its effect
DEPARTURE_SECONDS = 3  # after which a departing backend server gets no new work
IN_FORCE_SECONDS = 5
MINIMUM_CONNECTIONS = 50
MINIMUM_FLOWS = 30
MINIMUM_ANSWERS = 1000
MINIMUM_POSTS = 100
PLANNED = ("stop", "drain")
NEW_WORK = {"http": "began", "stream": "connection", "datagram": "flow"}


def read_lines(path):
    if not os.path.exists(path):
        return []
    with open(path, encoding="utf-8") as file:
        return [json.loads(line) for line in file if line.endswith("}\n")]


def backend_of_process(name):
    """The name of a backend server from its own process name or from that of its agent."""
    return name.removeprefix("agent-")


class Result:
    """The result of checking one property."""

    def __init__(self, title):
        self.title = title
        self.violations = []
        self.figures = {}

    def passed(self):
        return not self.violations

    def require(self, what, count, minimum):
        """Records a violation when the check examined fewer than `minimum` items, since it then shows nothing."""
        if count < minimum:
            self.violations.append(f"only {count} {what} to check, {minimum} needed")


class Checks:
    def __init__(self, folder, services, events, callers, operators, samples, balancer_hosts):
        self.folder = folder
        self.services = services  # name -> Service of the run
        self.events = events
        self.operators = operators
        self.samples = samples
        self.hosts = {host: name for name, host in balancer_hosts.items()}
        self.attempts = []
        self.flows = []
        for service, path in callers:
            for line in read_lines(path):
                line["service"] = service
                (self.flows if line.get("event") == "flow" else self.attempts).append(line)
        self.answers = defaultdict(Counter)  # by connection: answers of each backend server
        for attempt in self.attempts:
            if attempt["outcome"] == "answered":
                self.answers[(attempt["from"], attempt["connectionBegan"])][attempt["backend"]] += 1
        self.began = {(a["key"], a["attempt"]): a["began"] for a in self.attempts}
        self.work = defaultdict(list)  # by backend server
        for service in services.values():
            for backend in service.backends:
                self.work[backend] = read_lines(os.path.join(folder, f"work-{backend}.jsonl"))
        self.runs = defaultdict(list)  # by key: (wall time, backend server)
        for backend, lines in self.work.items():
            for line in lines:
                if line["event"] == "began":
                    self.runs[line["key"].removeprefix("/caller/")].append((line["at"], backend))
        self.read_fabric()

    def read_fabric(self):
        joined = defaultdict(list)
        for line in read_lines(os.path.join(self.folder, "fabric.jsonl")):
            if line["event"] == "joined":
                joined[line["from"]].append((line["at"], line["to"].rsplit(":", 1)[0]))
        self.joined = joined

    # Events that explain a broken flow

    def balancer_of(self, attempt):
        joined = self.joined.get(attempt["from"], [])
        index = bisect.bisect([at for at, _ in joined], attempt["at"])
        return self.hosts.get(joined[index - 1][1]) if index else None

    def backends_of(self, attempt):
        """The backend servers of the attempt's flow: the one that gave most answers on the connection, since the agent
        that holds the flow may offer single requests to a peer, and those that ran the attempt."""
        counts = self.answers[(attempt["from"], attempt["connectionBegan"])]
        most = max(counts.values(), default=0)
        backends = {backend for backend, count in counts.items() if count == most}
        return backends | {backend for _, backend in self.runs_of(attempt)}

    def runs_of(self, attempt):
        """The runs of the attempt: those that began before the next attempt with the same key."""
        following = self.began.get((attempt["key"], attempt["attempt"] + 1), float("inf"))
        return [run for run in self.runs.get(attempt["key"], []) if attempt["began"] <= run[0] < following]

    def has_event(self, kinds, names, since, until):
        return any(event.kind in kinds and (event.target in names or backend_of_process(event.target) in names)
                   and since - CLOCK_SLACK_SECONDS <= event.at <= until + CLOCK_SLACK_SECONDS
                   for event in self.events)

    def crash_possible_since(self, attempt):
        """The earliest signal time of a crash that may have hit the attempt: the crash follows with the next answer
        after its signal."""
        return attempt["connectionBegan"] - 2

    def explained_by_kill(self, attempt):
        """Whether the flow's balancer or a backend server of it was killed while the connection was open."""
        balancer = self.balancer_of(attempt)
        backends = self.backends_of(attempt)
        return (self.has_event(("kill",), {balancer} - {None}, attempt["connectionBegan"], attempt["at"])
                or self.has_event(("kill",), backends, attempt["connectionBegan"], attempt["at"])
                or self.has_event(("crash",), backends, self.crash_possible_since(attempt), attempt["at"]))

    def on_leaving_process(self, attempt):
        """Whether the flow's balancer or a backend server of it was draining or stopping, so that the flow may end
        between requests."""
        names = self.backends_of(attempt) | ({self.balancer_of(attempt)} - {None})
        return self.has_event(PLANNED, names, attempt["connectionBegan"] - 10, attempt["at"])

    def has_run(self, attempt):
        return bool(self.runs_of(attempt))

    def unexplained_cuts(self):
        """Attempts without a whole answer that the kill of a process does not explain."""
        return [attempt for attempt in self.attempts
                if attempt["outcome"] in ("broken", "unanswered") and not self.explained_by_kill(attempt)]

    # Properties

    def established_flows(self):
        result = Result("established flows survive")
        cut = [attempt for attempt in self.unexplained_cuts() if attempt["established"]]
        for attempt in cut:
            ended_between = (attempt["outcome"] == "unanswered" and not self.has_run(attempt)
                             and self.services[attempt["service"]].protocol == "http"
                             and self.on_leaving_process(attempt))
            if not ended_between:
                result.violations.append(f"{attempt['service']} {attempt['key']} through {self.balancer_of(attempt)} "
                                         f"at {attempt['backend']}: {attempt['outcome']}: {attempt['text'][:60]}")
        moved = 0
        for flow in self.flows:
            for before, after in zip(flow["backends"], flow["backends"][1:]):
                moved += 1
                if not (self.has_event(("kill",), {before["name"]}, before["since"], after["since"])):
                    result.violations.append(f"datagram flow {flow['id']} moved from {before['name']} to "
                                             f"{after['name']}")
            last = flow["backends"][-1] if flow["backends"] else None
            if last and flow["at"] - flow["lastAnswer"] > 2 and not self.has_event(
                    ("kill",), {last["name"]}, last["since"], flow["at"]):
                result.violations.append(f"datagram flow {flow['id']} went silent at {last['name']}")
        connections = {(a["from"], a["connectionBegan"]) for a in self.attempts if a["outcome"] == "answered"}
        result.figures = {"connections": len(connections), "datagram_flows": len(self.flows),
                          "broken": len(result.violations), "ended_by_a_kill": self.ended_by_kill(),
                          "datagram_flows_moved": moved}
        result.require("connections", len(connections), MINIMUM_CONNECTIONS)
        result.require("datagram flows answered", sum(bool(flow["backends"]) for flow in self.flows), MINIMUM_FLOWS)
        return result

    def ended_by_kill(self):
        return sum(attempt["established"] and attempt["outcome"] in ("broken", "unanswered")
                   and self.explained_by_kill(attempt) for attempt in self.attempts)

    def isolation(self):
        result = Result("no packet reaches another service")
        checked = 0
        for service in self.services.values():
            for backend in service.backends:
                for line in self.work[backend]:
                    if line["event"] != "began":
                        continue
                    checked += 1
                    caller = int(line["key"].removeprefix("/caller/").split("-")[0])
                    if caller not in service.caller_ids:
                        result.violations.append(f"{backend} ran {line['key']}")
        for flow in self.flows:
            expected = self.services[flow["service"]].backends
            for seen in flow["backends"]:
                checked += 1
                if seen["name"] not in expected or f"|{flow['id']}-" not in seen["text"]:
                    result.violations.append(f"flow {flow['id']} was answered {seen['text'][:60]}")
        result.figures = {"checked": checked, "misrouted": len(result.violations)}
        result.require("deliveries", checked, MINIMUM_ANSWERS)
        return result

    def whole_answers(self):
        result = Result("each answer is whole and its own request's")
        outcomes = Counter(attempt["outcome"] for attempt in self.attempts)
        for attempt in self.attempts:
            if attempt["outcome"] == "wrong":
                result.violations.append(f"{attempt['key']} was answered {attempt['text'][:60]!r}")
            # An answer that times out counts as broken: without a kill every answer arrives within the 10 s limit.
            elif attempt["outcome"] == "broken" and not self.explained_by_kill(attempt):
                result.violations.append(f"{attempt['key']} at {attempt['backend']}: {attempt['text'][:60]}")
        result.figures = dict(outcomes)
        result.require("answers", outcomes["answered"], MINIMUM_ANSWERS)
        return result

    def truthful_refusals(self):
        result = Result("refused as not run: did not run")
        refusals = [a for a in self.attempts if a["outcome"] == "refused" and self.is_not_run_refusal(a)]
        for attempt in refusals:
            if self.runs.get(attempt["key"]):
                result.violations.append(f"{attempt['key']} ran at {self.runs[attempt['key']]}")
        others = Counter(a["status"] for a in self.attempts
                         if a["outcome"] == "refused" and not self.is_not_run_refusal(a))
        result.figures = {"refused_not_run": len(refusals), "false": len(result.violations),
                          "other_refusals": dict(others)}
        return result

    @staticmethod
    def is_not_run_refusal(attempt):
        return "not-run" in attempt["text"]

    def at_most_once(self):
        result = Result("non-idempotent requests run at most once")
        posts = {a["key"] for a in self.attempts if a["post"]}
        acknowledged = {a["key"] for a in self.attempts if a["post"] and a["outcome"] == "answered"}
        for key in sorted(posts):
            if len(self.runs.get(key, [])) > 1:
                result.violations.append(f"{key} ran at {[backend for _, backend in self.runs[key]]}")
            if key in acknowledged and not self.runs.get(key):
                result.violations.append(f"{key} was acknowledged and never ran")
        result.figures = {"posts": len(posts), "acknowledged": len(acknowledged),
                          "resent": len({a["key"] for a in self.attempts if a["post"] and a["attempt"] > 1}),
                          "ran_twice": sum(len(self.runs.get(key, [])) > 1 for key in posts)}
        result.require("acknowledged posts", len(acknowledged), MINIMUM_POSTS)
        return result

    def leaving_servers(self):
        result = Result("a leaving backend server gets no new work after seconds")
        leaves = 0
        for event in self.events:
            backend = backend_of_process(event.target)
            service = next((s for s in self.services.values() if backend in s.backends), None)
            if event.kind not in PLANNED or service is None:
                continue
            leaves += 1
            restarted_at = min((other.at for other in self.events if other.kind == "start"
                                and backend_of_process(other.target) == backend and other.at > event.at),
                               default=float("inf"))
            late = [line for line in self.work[backend] if line["event"] == NEW_WORK[service.protocol]
                    and event.at + DEPARTURE_SECONDS < line["at"] < restarted_at]
            if late:
                result.violations.append(f"{backend} took {len(late)} new, the last {late[-1]['at'] - event.at:.1f} s "
                                         f"after its {event.kind}")
        result.figures = {"leaves": leaves, "with_late_work": len(result.violations)}
        result.require("leaves", leaves, 1)
        return result

    def graceful_stops(self):
        result = Result("planned stops cut no request and end well")
        stops = [event for event in self.events if event.kind == "stop"]
        for event in stops:
            if event.details.get("code") != 0:
                result.violations.append(f"stop of {event.target}: exit code {event.details.get('code')}")
        cut = [a for a in self.unexplained_cuts() if self.has_run(a) and self.on_leaving_process(a)]
        for attempt in cut:
            result.violations.append(f"{attempt['service']} {attempt['key']} was cut at {self.backends_of(attempt)} "
                                     f"through {self.balancer_of(attempt)}")
        result.figures = {"stops": len(stops), "requests_cut": len(cut), "longest_s": round(max(
            (event.details.get("seconds", 0) for event in stops), default=0), 1)}
        result.require("planned stops", len(stops), 2)
        return result

    def notes_in_force(self, control_addresses):
        result = Result("accepted notes are in force within 5 s, never reverted")
        accepted = [s for s in self.operators.submissions if s.accepted()]
        slowest = 0
        for submission in accepted:
            slowest = max(slowest, self.check_in_force(submission, result))
        reverted = self.check_monotonic(result)
        self.check_races(result)
        self.check_stored(accepted, control_addresses, result)
        result.figures = {"submitted": len(self.operators.submissions), "accepted": len(accepted),
                          "unanswered": sum(s.status == 0 for s in self.operators.submissions),
                          "slowest_s": round(slowest, 2), "reverted": reverted}
        result.require("accepted notes", len(accepted), 3)
        return result

    def check_in_force(self, submission, result):
        at, revision = submission.answered_at, submission.answer["revision"]
        slowest = 0
        for name in self.hosts.values():
            if any(event.target == name and at - 1 <= event.at <= at + IN_FORCE_SECONDS for event in self.events):
                continue  # the balancer was not up all the time
            times = [when for when, who, _, seen in self.samples if who == name and when >= at and seen >= revision]
            if times:
                slowest = max(slowest, times[0] - at)
            if not times or times[0] - at > IN_FORCE_SECONDS:
                result.violations.append(f"note {submission.number()} was not in force at {name} within "
                                         f"{IN_FORCE_SECONDS} s")
        return slowest

    def check_monotonic(self, result):
        latest = {}
        reverted = 0
        for _, name, pid, revision in self.samples:
            if revision < latest.get(pid, 0):
                reverted += 1
                result.violations.append(f"{name} fell from revision {latest[pid]} to {revision}")
            latest[pid] = revision
        return reverted

    def check_races(self, result):
        for first, second in self.operators.races:
            winners = [s for s in (first, second) if s.accepted()]
            if len(winners) == 2:
                result.violations.append(f"note {first.number()} was accepted from two operators")
            loser = second if winners == [first] else first
            if len(winners) == 1 and loser.status == 409 and loser.answer["acceptedAuthor"] != winners[0].author():
                result.violations.append(f"note {first.number()}: the refusal does not name the accepted author")
        for first, again in self.operators.resends:
            answers = {s.answer["revision"] for s in (first, again) if s.accepted()}
            refused = [s for s in (first, again) if s.status in (409, 422)]
            if len(answers) > 1 or refused:
                result.violations.append(f"note {first.number()} resent: answers {first.status} {again.status} "
                                         f"revisions {sorted(answers)}")

    def check_stored(self, accepted, control_addresses, result):
        for address in control_addresses:
            status, answer = http("GET", address, "/notes")
            if status != 200:
                result.violations.append(f"control instance {address} does not list its notes")
                continue
            kept = {note["number"]: (note["author"], note["revision"]) for note in answer["notes"]}
            for submission in accepted:
                expected = (submission.author(), submission.answer["revision"])
                if kept.get(submission.number()) != expected:
                    result.violations.append(f"accepted note {submission.number()} of {expected} is kept at {address} "
                                             f"as {kept.get(submission.number())}")

    def run_all(self, control_addresses):
        return [self.established_flows(), self.isolation(), self.whole_answers(), self.truthful_refusals(),
                self.at_most_once(), self.leaving_servers(), self.graceful_stops(),
                self.notes_in_force(control_addresses)]
