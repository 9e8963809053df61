"""Starts and stops the processes of a complete yuccahook system on loopback, for the demo and the fault runs."""

import json
import os
import random
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import urllib.error
import urllib.parse
import urllib.request

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
FABRIC_HOST = "127.0.2.1"
START_LIMIT_SECONDS = 30
FIRST_PORT = 10_000
PORTS_END = 32_000


def free_port(host="127.0.0.1"):
    """A port that is free for TCP and UDP at this moment, below the kernel's default range of ephemeral ports."""
    while True:
        port = random.randrange(FIRST_PORT, PORTS_END)
        with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as stream:
            try:
                stream.bind((host, port))
            except OSError:
                continue
            with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as datagram:
                try:
                    datagram.bind((host, port))
                    return port
                except OSError:
                    continue


def free_address(host="127.0.0.1"):
    return f"{host}:{free_port(host)}"


def http(method, address, path, body=None, timeout=15, redirects=2):
    """Sends an HTTP request and follows redirections, as operators do; returns (status, parsed JSON or text), status 0
    when there is no answer in `timeout` seconds."""
    data = body.encode() if body is not None else None
    request = urllib.request.Request(f"http://{address}{path}", data=data, method=method)
    try:
        with urllib.request.urlopen(request, timeout=timeout) as reply:
            text = reply.read().decode()
            status = reply.status
    except urllib.error.HTTPError as error:
        if error.code == 307 and redirects > 0:
            target = urllib.parse.urlsplit(error.headers["Location"])
            return http(method, target.netloc, target.path, body, timeout, redirects - 1)
        text = error.read().decode()
        status = error.code
    except OSError:
        return 0, None
    try:
        return status, json.loads(text)
    except ValueError:
        return status, text


class Process:
    """A child process, which can be started again after it has ended."""

    def __init__(self, name, arguments, folder):
        self.name = name
        self.arguments = arguments
        self.log = os.path.join(folder, name + ".log")
        self.start()

    def start(self):
        with open(self.log, "ab") as log:
            self.popen = subprocess.Popen(self.arguments, stdout=log, stderr=log, cwd=ROOT)

    def running(self):
        return self.popen.poll() is None

    def signal(self, number):
        if self.running():
            self.popen.send_signal(number)

    def wait(self, seconds):
        """Waits for the process to end; returns the exit code, or None when it still runs after `seconds`."""
        try:
            return self.popen.wait(seconds)
        except subprocess.TimeoutExpired:
            return None

    def stop(self, seconds=20):
        """Makes a planned stop and kills the process when that takes longer. Returns the exit code, negative for a
        signal."""
        self.signal(signal.SIGTERM)
        code = self.wait(seconds)
        if code is None:
            self.kill()
            code = self.wait(5)
        return code

    def kill(self):
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        self.wait(5)


class LocalCluster:
    """Control instances, balancers, agents with backend servers and a fabric, with files in a temporary folder."""

    def __init__(self, build=None):
        self.build = build or os.environ.get("BUILD", os.path.join(ROOT, "build"))
        self.folder = tempfile.mkdtemp(prefix="yuccahook-")
        self.processes = {}
        self.operators = {}
        self.control_addresses = []
        self.control_names = []
        self.balancer_hosts = {}
        self.services = {}
        self.backends = {}  # names of backend servers by service
        self.control_relays = []
        self.trunk_relays = []

    def __enter__(self):
        return self

    def __exit__(self, kind, value, trace):
        for process in reversed(list(self.processes.values())):
            process.signal(signal.SIGCONT)
            process.signal(signal.SIGTERM)
            process.signal(signal.SIGTERM)
        for process in self.processes.values():
            if process.wait(5) is None:
                process.kill()
        if kind is None:
            shutil.rmtree(self.folder, ignore_errors=True)
        else:
            print(f"logs are kept in {self.folder}")

    def write_settings(self, name, settings):
        path = os.path.join(self.folder, name + ".json")
        with open(path, "w", encoding="utf-8") as file:
            json.dump(settings, file, indent=2)
        return path

    def start_role(self, role, name, domain, settings):
        self.operators.setdefault(name, free_address())
        common = {"name": name, "domain": domain, "operator": self.operators[name]}
        path = self.write_settings(name, {**common, **settings})
        binary = os.path.join(self.build, "yuccahook")
        self.processes[name] = Process(name, [binary, role, "--settings", path], self.folder)
        return self.processes[name]

    def start_standin(self, kind, name, *options):
        binary = os.path.join(self.build, "yuccahook-standin")
        self.processes[name] = Process(name, [binary, kind, *map(str, options)], self.folder)
        return self.processes[name]

    def start_control(self, count, domains):
        addresses = [free_address() for _ in range(count)]
        self.control_addresses = addresses
        for index, address in enumerate(addresses):
            name = f"control-{index + 1}"
            self.control_names.append(name)
            peers = [
                {"id": other + 1, "address": addresses[other]} for other in range(count) if other != index
            ]
            self.start_role("control", name, domains[index % len(domains)], {
                "controlInstance": {
                    "id": index + 1, "listen": address, "data": os.path.join(self.folder, name), "peers": peers,
                },
            })

    def start_relay(self, name, target):
        """Starts a relay, which can make the open connections through it go silent; returns its address."""
        address = free_address()
        self.start_standin("fabric", name, "--stream", f"{address}={target}", "--datagram", f"{address}={target}")
        return address

    def relay_control(self):
        """Starts a relay before each control instance; processes started later use the relays."""
        for index, address in enumerate(self.control_addresses):
            name = f"relay-control-{index + 1}"
            self.control_addresses[index] = self.start_relay(name, address)
            self.control_relays.append(name)

    def start_balancer(self, index, domain):
        name = f"balancer-{index}"
        host = f"127.0.1.{index}"
        self.balancer_hosts[name] = host
        self.start_role("balancer", name, domain, {
            "control": self.control_addresses, "balancer": {"listenHost": host},
        })
        return name

    def start_backend(self, service, index, domain, *options, agent_settings=None, relayed=False):
        """Starts an agent and the backend server beside it. With `relayed` other processes reach the agent's trunk
        through a relay."""
        agent = f"agent-{service}-{index}"
        backend = f"{service}-{index}"
        self.backends.setdefault(service, []).append(backend)
        trunk = {"trunk": free_address()}
        if relayed:
            trunk["announcedTrunk"] = self.start_relay("relay-" + agent, trunk["trunk"])
            self.trunk_relays.append("relay-" + agent)
        self.start_role("agent", agent, domain, {
            "control": self.control_addresses,
            "agent": {**trunk, "leaveSeconds": 10, **(agent_settings or {})},
        })
        self.start_standin("backend", backend, "--name", backend, "--listen", free_address(), "--agent",
                           self.operators[agent], "--service", service, *options)
        return agent, backend

    def service_port(self, service):
        if service not in self.services:
            self.services[service] = free_port(FABRIC_HOST)
        return self.services[service]

    def service_address(self, service):
        return f"{FABRIC_HOST}:{self.service_port(service)}"

    def start_fabric(self, streams, datagrams, *options):
        arguments = []
        for option, services in (("--stream", streams), ("--datagram", datagrams)):
            for service in services:
                balancers = ",".join(f"{host}:{self.service_port(service)}" for host in self.balancer_hosts.values())
                arguments += [option, f"{self.service_address(service)}={balancers}"]
        return self.start_standin("fabric", "fabric", *arguments, *options)

    def submit_note(self, note, names=None, attempts=40):
        """Submits a note until a control instance answers, one of the named ones if given; returns (status, answer)."""
        names = names or self.control_names
        status, answer = 0, None
        for attempt in range(attempts):
            name = names[attempt % len(names)]
            status, answer = http("POST", self.operators[name], "/notes", json.dumps(note))
            if status in (200, 409, 422):
                return status, answer
            time.sleep(0.25)
        return status, answer

    def wait_until(self, what, condition, seconds=START_LIMIT_SECONDS):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            if condition():
                return
            time.sleep(0.1)
        raise RuntimeError(f"not within {seconds} s: {what}")

    def members(self):
        for name in self.control_names:
            status, answer = http("GET", self.operators[name], "/members")
            if status == 200:
                return answer["members"]
        return []

    def wait_for_members(self, count):
        self.wait_until(f"{count} members", lambda: sum(m["state"] == "ready" for m in self.members()) == count)

    def revision(self, name):
        status, answer = http("GET", self.operators[name], "/status")
        return answer["revision"] if status == 200 else 0

    def wait_for_revision(self, names, revision):
        self.wait_until(f"revision {revision} at {names}",
                        lambda: all(self.revision(name) >= revision for name in names))
