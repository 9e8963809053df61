"""The faults of a seeded run, applied to the processes of a system, and the events that the checks need."""

import heapq
import json
import signal
import threading
import time

from local_cluster import http

STOP_LIMIT_SECONDS = 20
RESTART_SECONDS = 1.5
PAUSE_SECONDS = 8
NOTE_LIMIT_SECONDS = 10
LOST_ANSWER_SECONDS = 0.02


class Event:
    """A fault, stop or start that the run caused, with its wall time."""

    def __init__(self, kind, target, **details):
        self.at = time.time()
        self.kind = kind
        self.target = target
        self.details = details


class Submission:
    """A release note that an operator submitted, and the last answer to it."""

    def __init__(self, note):
        self.note = note
        self.status = 0
        self.answer = None
        self.answered_at = 0

    def accepted(self):
        return self.status == 200

    def number(self):
        return self.note["number"]

    def author(self):
        return self.note["author"]


class Operators:
    """Submit release notes, each from its own thread, since a paused control instance blocks the thread."""

    def __init__(self, cluster, random):
        self.cluster = cluster
        self.random = random
        self.number = 1
        self.submissions = []
        self.races = []
        self.resends = []
        self.threads = []

    def note(self, author, number):
        return {"number": number, "author": author,
                "changed": [{"name": "listings", "idleSeconds": self.random.randrange(100, 200)}]}

    def submit(self, author, number, lose_first_answer=False):
        submission = Submission(self.note(author, number))
        self.submissions.append(submission)
        first = self.random.randrange(len(self.cluster.control_names))
        self.threads.append(threading.Thread(target=self.submit_until_answered,
                                             args=(submission, first, lose_first_answer)))
        self.threads[-1].start()
        return submission

    def submit_until_answered(self, submission, first, lose_first_answer):
        text = json.dumps(submission.note)
        names = self.cluster.control_names
        end = time.monotonic() + NOTE_LIMIT_SECONDS
        attempt = first
        if lose_first_answer:
            http("POST", self.cluster.operators[names[attempt % len(names)]], "/notes", text, LOST_ANSWER_SECONDS)
        while time.monotonic() < end:
            address = self.cluster.operators[names[attempt % len(names)]]
            status, answer = http("POST", address, "/notes", text, 2)
            if status in (200, 409, 422):
                submission.status, submission.answer = status, answer
                submission.answered_at = time.time()
                return
            attempt += 1
            time.sleep(0.1)

    def next_number(self):
        self.number += 1
        return self.number

    def change(self):
        self.submit("ana", self.next_number())

    def race(self):
        number = self.next_number()
        self.races.append((self.submit("bruno", number), self.submit("carla", number)))

    def resend(self):
        number = self.next_number()
        first = self.submit("dora", number, lose_first_answer=True)
        again = Submission(first.note)
        self.submissions.append(again)
        self.threads.append(threading.Thread(target=self.submit_until_answered, args=(again, 0, True)))
        self.threads[-1].start()
        self.resends.append((first, again))

    def join(self):
        for thread in self.threads:
            thread.join(NOTE_LIMIT_SECONDS + 5)


class RevisionWatch:
    """Samples the revision in force at every balancer process."""

    def __init__(self, cluster):
        self.cluster = cluster
        self.samples = []  # (wall time, balancer, process id, revision)
        self.stopped = threading.Event()
        self.threads = [threading.Thread(target=self.watch, args=(name,)) for name in cluster.balancer_hosts]
        for thread in self.threads:
            thread.start()

    def watch(self, name):
        while not self.stopped.wait(0.1):
            pid = self.cluster.processes[name].popen.pid
            status, answer = http("GET", self.cluster.operators[name], "/status", timeout=2)
            if status == 200 and pid == self.cluster.processes[name].popen.pid:
                self.samples.append((time.time(), name, pid, answer["revision"]))

    def stop(self):
        self.stopped.set()
        for thread in self.threads:
            thread.join(5)


class Plan:
    """Causes each kind of failure at least once, some twice and two at the same time, in an order set by the seed."""

    def __init__(self, cluster, random, operators):
        self.cluster = cluster
        self.random = random
        self.operators = operators
        self.events = []
        self.queue = []
        self.sequence = 0
        self.down = set()  # names of processes that are being killed, stopped or paused
        self.stopping = []  # (event, process)

    def schedule(self, at, action):
        self.sequence += 1
        heapq.heappush(self.queue, (at, self.sequence, action))

    def schedule_faults(self, seconds):
        """Spreads the faults over the first part of the run, so that the system has time to recover from each."""
        slow = [self.pause_control, self.stop_balancer, self.stop_agent, self.drain_backend]
        quick = [self.kill_balancer, self.kill_agent, self.kill_backend, self.crash_backend, self.kill_control,
                 self.silence_trunk, self.silence_control, self.operators.change, self.operators.race,
                 self.operators.resend]
        quick.append(self.random.choice([self.kill_balancer, self.kill_agent, self.kill_backend]))
        self.random.shuffle(slow)
        self.random.shuffle(quick)
        for action in slow:
            self.schedule(self.random.uniform(1, seconds * 0.4), action)
        for action in quick:
            self.schedule(self.random.uniform(1, seconds * 0.7), action)
        simultaneous_at = self.random.uniform(1, seconds * 0.6)
        for action in self.random.sample([self.kill_agent, self.kill_balancer, self.operators.change,
                                          self.operators.resend, self.stop_agent], 2):
            self.schedule(simultaneous_at, action)

    def run(self, seconds):
        start = time.monotonic()
        while time.monotonic() - start < seconds:
            now = time.monotonic() - start
            self.elapsed = now
            if self.queue and self.queue[0][0] <= now:
                heapq.heappop(self.queue)[2]()
            self.check_stops()
            time.sleep(0.02)

    def finish(self):
        """Runs the scheduled recoveries and waits for planned stops."""
        for _, _, action in sorted(self.queue, key=lambda entry: entry[:2]):
            if getattr(action, "recovers", False):
                action()
        self.queue = []
        end = time.monotonic() + STOP_LIMIT_SECONDS
        while self.stopping and time.monotonic() < end:
            self.check_stops()
            time.sleep(0.05)
        for event, process in self.stopping:
            event.details["code"] = None
            process.kill()
            process.start()
        self.stopping = []

    # Targets

    def candidates(self, names, keep):
        """The running processes of `names`, if one may fail and `keep` of them stay up; else none."""
        up = [name for name in names if name not in self.down and self.cluster.processes[name].running()]
        return up if len(up) > keep else []

    def pick_balancer(self):
        names = self.candidates(list(self.cluster.balancer_hosts), 1)
        return self.random.choice(names) if names else None

    def pick_backend(self):
        """A backend server whose service has another one running with its agent; None when there is none."""
        choices = []
        for service in sorted(self.cluster.backends):
            up = [name for name in self.cluster.backends[service]
                  if not {name, "agent-" + name} & self.down and self.cluster.processes[name].running()]
            if len(up) > 1:
                choices += up
        return self.random.choice(choices) if choices else None

    def pick_control(self):
        names = self.cluster.control_names
        up = self.candidates(names, len(names) // 2 + 1 if len(names) > 1 else 0)
        return self.random.choice(up) if up else None

    # Faults

    def record(self, kind, target, **details):
        self.events.append(Event(kind, target, **details))
        return self.events[-1]

    def schedule_recovery(self, seconds, action):
        action.__dict__["recovers"] = True
        self.schedule(self.elapsed + seconds, action)

    def kill(self, name):
        if name is None:
            return
        self.down.add(name)
        self.record("kill", name)
        self.cluster.processes[name].kill()
        self.restart_later(name)

    def restart_later(self, name):
        def restart():
            self.record("start", name)
            self.cluster.processes[name].start()
            self.down.discard(name)
        self.schedule_recovery(RESTART_SECONDS, restart)

    def kill_balancer(self):
        self.kill(self.pick_balancer())

    def kill_agent(self):
        backend = self.pick_backend()
        self.kill(backend and "agent-" + backend)

    def kill_backend(self):
        self.kill(self.pick_backend())

    def kill_control(self):
        self.kill(self.pick_control())

    def crash_backend(self):
        name = self.pick_backend()
        if name is None:
            return
        self.down.add(name)
        self.record("crash", name)
        self.cluster.processes[name].signal(signal.SIGUSR2)

        def restart():
            self.record("start", name)
            self.cluster.processes[name].kill()
            self.cluster.processes[name].start()
            self.down.discard(name)
        self.schedule_recovery(RESTART_SECONDS, restart)

    def pause_control(self):
        name = self.pick_control()
        if name is None:
            return
        self.down.add(name)
        self.record("pause", name)
        self.cluster.processes[name].signal(signal.SIGSTOP)

        def resume():
            self.record("resume", name)
            self.cluster.processes[name].signal(signal.SIGCONT)
            self.down.discard(name)
        self.schedule_recovery(PAUSE_SECONDS, resume)

    def silence(self, relays):
        name = self.random.choice(sorted(relays))
        self.record("silence", name)
        self.cluster.processes[name].signal(signal.SIGUSR2)

    def silence_trunk(self):
        self.silence(self.cluster.trunk_relays)

    def silence_control(self):
        self.silence(self.cluster.control_relays)

    def stop(self, name):
        if name is None:
            return
        self.down.add(name)
        event = self.record("stop", name)
        self.cluster.processes[name].signal(signal.SIGTERM)
        self.stopping.append((event, self.cluster.processes[name]))

    def stop_balancer(self):
        self.stop(self.pick_balancer())

    def stop_agent(self):
        backend = self.pick_backend()
        self.stop(backend and "agent-" + backend)

    def drain_backend(self):
        """Makes a backend server report that it is draining; its agent is stopped some seconds later."""
        name = self.pick_backend()
        if name is None:
            return
        self.down.update((name, "agent-" + name))
        self.record("drain", name)
        self.cluster.processes[name].signal(signal.SIGHUP)

        def leave():
            self.cluster.processes[name].drained = True
            self.stop("agent-" + name)
        self.schedule_recovery(4, leave)

    def check_stops(self):
        for event, process in list(self.stopping):
            seconds = time.time() - event.at
            if process.running() and seconds < STOP_LIMIT_SECONDS:
                continue
            self.stopping.remove((event, process))
            event.details.update(code=process.wait(0) if not process.running() else None, seconds=seconds)
            process.kill()
            self.restart_after_stop(process.name)

    def restart_after_stop(self, name):
        backend = self.cluster.processes.get(name.removeprefix("agent-"))
        if backend is not None and getattr(backend, "drained", False):
            backend.drained = False
            backend.stop(2)
            backend.start()
            self.down.discard(backend.name)
        self.record("start", name)
        self.cluster.processes[name].start()
        self.down.discard(name)
