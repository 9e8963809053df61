"""Starts control instances, balancers and agents as the deploy file says, each on a loopback address of its own, and calls
them as the platform's operator does. Runs the cases 11 and later; flows3.py has the stand-ins that exchange packets."""

import asyncio
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import traceback

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
LIMIT_SECONDS = 112.0  # of a run; a script may take 120 s
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ORDER_SECONDS = 1.0  # an operator goes to another node after a second without a response


class CannotRun(Exception):
    """The case could not be set up; says nothing about the rule."""


def render(template, fields):
    """Fills in a settings template with the fields of the platform's settings file."""

    def look_up(name, scopes):
        if name == ".":
            return scopes[-1]
        value = None
        for scope in reversed(scopes):
            value = scope
            for part in name.split("."):
                if isinstance(value, dict):
                    value = value.get(part)
                elif isinstance(value, list) and part.isdigit() and int(part) < len(value):
                    value = value[int(part)]
                else:
                    value = None
            if value is not None:
                return value
        return value

    def fill(text, scopes):
        section = re.search(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", text, re.S)
        if section:
            entries = look_up(section[1], scopes) or []
            body = "".join(fill(section[2].replace("{{,}}", "," if index + 1 < len(entries) else ""), scopes + [entry])
                           for index, entry in enumerate(entries))
            return fill(text[:section.start()], scopes) + body + fill(text[section.end():], scopes)

        def value_of(match):
            value = look_up(match[1], scopes)
            if match[2]:
                return json.dumps(value)
            return "" if value is None else str(value)

        return re.sub(r"\{\{([\w.]+)(\|json)?\}\}", value_of, text)

    return fill(template, [fields])


class Node:
    """One process of the system on a machine of its own, that is, an address of its own."""

    def __init__(self, lab, name, role, ip, zone, extra):
        self.lab, self.name, self.role, self.ip, self.zone, self.extra = lab, name, role, ip, zone, extra
        self.data = os.path.join(lab.folder, name + ".data")
        self.settings = os.path.join(lab.folder, name + ".json")
        self.control = f"{ip}:{lab.ports['control']}"
        self.readiness = f"{ip}:{lab.ports['readiness']}"
        self.popen = None

    def start(self, bootstrap=False):
        lab = self.lab
        ports = lab.ports
        fields = {
            "node": self.name, "zone": self.zone, "zones": lab.zones, "ip": self.ip, "seeds": lab.seeds,
            "bootstrap": bootstrap, "internalPorts": [ports["rpc"], ports["trunk"]], "dataDirectory": self.data,
            "limits": {"linkMbps": 1000.0}, "heartbeatIntervalMs": lab.heartbeat_ms, "bounds": lab.bounds,
            "listen": {"control": self.control, "readinessAddress": self.readiness,
                       "packets": f"{self.ip}:{ports['packets']}", "outbound": f"{self.ip}:{ports['outbound']}"},
            "app": f"{self.ip}:{ports['app']}",
        }
        fields.update(self.extra)
        with open(os.path.join(ROOT, lab.roles[self.role]["template"]), encoding="utf-8") as file:
            text = render(file.read(), fields)
        json.loads(text)
        with open(self.settings, "w", encoding="utf-8") as file:
            file.write(text)
        words = lab.roles[self.role]["run"].split()
        words = [self.settings if word == "/etc/yuccahook/node.json" else word for word in words]
        with open(os.path.join(lab.folder, self.name + ".log"), "ab") as log:
            self.popen = subprocess.Popen(words, cwd=ROOT, stdout=log, stderr=log, stdin=subprocess.DEVNULL)
        lab.record(f"{self.name} started at {self.ip}")

    def is_running(self):
        return self.popen is not None and self.popen.poll() is None

    async def stop(self, grace_seconds):
        """A planned stop, as by the platform: SIGTERM, and SIGKILL after the grace time."""
        self.send_signal(signal.SIGTERM)
        end = time.monotonic() + grace_seconds
        while self.is_running() and time.monotonic() < end:
            await asyncio.sleep(0.02)
        if self.is_running():
            self.kill()

    def send_signal(self, number):
        self.popen.send_signal(number)
        self.lab.record(f"{self.name} gets {signal.Signals(number).name}")

    def kill(self, wipe=False):
        if self.is_running():
            self.popen.kill()
            self.popen.wait()
        if wipe:
            shutil.rmtree(self.data, ignore_errors=True)
        self.lab.record(f"{self.name} is killed" + (" and has lost its disk" if wipe else ""))


class Lab:
    def __init__(self, folder, zones, bounds, heartbeat_ms=1200):
        with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as file:
            self.roles = tomllib.load(file)["roles"]
        if not os.path.exists(os.path.join(ROOT, "target", "yuccahook")):
            raise CannotRun("target/yuccahook is missing; run the build line of deploy/system.toml")
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.output = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self.zones = {zone: "region-1" for zone in zones}
        self.bounds, self.heartbeat_ms = bounds, heartbeat_ms
        self.began = time.monotonic()
        self.nodes = []
        self.seeds = []
        self.net = f"127.{random.randrange(20, 120)}.{random.randrange(1, 250)}"
        self.last_host = 0
        self.ports = self.free_ports(("control", "readiness", "rpc", "trunk", "packets", "outbound", "app"))
        self.tasks = set()

    def free_ports(self, names):
        for _ in range(100):
            base = random.randrange(10_000, 32_000)
            sockets = []
            try:
                for offset in range(len(names)):
                    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                        one = socket.socket(socket.AF_INET, kind)
                        sockets.append(one)
                        one.bind((f"{self.net}.1", base + offset))
                return {name: base + offset for offset, name in enumerate(names)}
            except OSError:
                continue
            finally:
                for one in sockets:
                    one.close()
        raise CannotRun("no free ports")

    def now(self):
        return time.monotonic() - self.began

    def record(self, text):
        self.output.write(f"{self.now():8.3f} {text}\n")

    def address(self):
        self.last_host += 1
        return f"{self.net}.{self.last_host}"

    def add(self, name, role, zone, **extra):
        node = Node(self, name, role, self.address(), zone, extra)
        self.nodes.append(node)
        return node

    def spawn(self, coroutine):
        task = asyncio.get_running_loop().create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    def close(self):
        for node in self.nodes:
            if node.is_running():
                node.popen.kill()
                node.popen.wait()
        self.output.close()
        if os.environ.get("KEEP") != "1":
            shutil.rmtree(self.folder, ignore_errors=True)
        else:
            print("logs in", self.folder)


async def http(address, method, path, body=None, seconds=ORDER_SECONDS, redirects=2):
    """One HTTP call. Returns (status, text); status 0 without a response. Closes the connection at the time limit."""
    host, port = address.rsplit(":", 1)
    writer = None
    try:
        async with asyncio.timeout(seconds):
            reader, writer = await asyncio.open_connection(host, int(port))
            data = b"" if body is None else json.dumps(body).encode()
            kind = "Content-Type: application/json\r\n" if body is not None else ""
            writer.write((f"{method} {path} HTTP/1.1\r\nHost: {address}\r\n{kind}Content-Length: {len(data)}\r\n"
                          "Connection: close\r\n\r\n").encode() + data)
            answer = await reader.read(-1)
    except (OSError, TimeoutError):
        return 0, ""
    finally:
        if writer:
            writer.close()
    head, _, text = answer.partition(b"\r\n\r\n")
    words = head.split(b" ", 2)
    if len(words) < 2:
        return 0, ""
    location = re.search(rb"(?im)^location: http://([^/\r\n]+)([^\r\n]*)", head)
    if words[1] == b"307" and location and redirects > 0:
        return await http(location[1].decode(), method, location[2].decode(), body, seconds, redirects - 1)
    return int(words[1]), text.decode(errors="replace")


class Operator:
    """Sends orders until one is acknowledged: to the next node after a failure or a second without a response."""

    def __init__(self, lab, nodes):
        self.lab, self.nodes = lab, nodes

    async def order(self, method, path, body=None, first=None, seconds=20.0, what=""):
        """Returns the time of the acknowledgement, or None."""
        end = time.monotonic() + seconds
        nodes = list(self.nodes)
        random.shuffle(nodes)
        if first:
            nodes = [first] + [node for node in nodes if node is not first]
        delay = 0.1
        while time.monotonic() < end:
            for node in nodes:
                status, _ = await http(node.control, method, path, body)
                self.lab.record(f"operator: {method} {path} {what} to {node.name}: {status or 'no response'}")
                if 200 <= status < 300:
                    return time.monotonic()
                if status in (400, 409, 412, 413, 422):
                    return None
                await asyncio.sleep(delay)
            delay = min(delay * 2, 1.0)
        return None

    async def read(self, node):
        status, text = await http(node.control, "GET", "/api/configuration", seconds=2.0)
        version = json.loads(text).get("version") if status == 200 else None
        self.lab.record(f"operator: GET /api/configuration at {node.name}: {status or 'no response'}"
                        + (f", version {version}" if version is not None else ""))
        return version


def configuration(version, services, routes, **limits):
    """`services`: name to extra fields. `routes`: (port, service, kind)."""
    return {
        "version": version,
        "routes": [{"name": f"r-{port}", "host": "127.200.0.1", "pathPrefix": f"/{port}/", "kind": kind,
                    "timeoutMs": 1500, "latencyGoalMs": 250, "priority": 1, "service": service, "maxAttempts": 2}
                   for port, service, kind in routes],
        "services": [{"name": name, "healthPath": "/health", "connectionLimit": 2000, "protocol": "h1", "tls": False,
                      **extra} for name, extra in services.items()],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000,
                   **limits},
    }


async def wait_for(what, condition, seconds):
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        if await condition():
            return
        await asyncio.sleep(0.1)
    raise CannotRun(f"not within {seconds} s: {what}")


async def start_control(lab, count, zones):
    """Starts control instances with empty disks as a new system; the first three are its seeds."""
    nodes = [lab.add(f"control-{index + 1}", "control", zones[index % len(zones)]) for index in range(count)]
    lab.seeds = [node.control for node in nodes[:3]]
    for node in nodes:
        node.start(bootstrap=True)
    return nodes


async def run_limited(lab, case):
    try:
        async with asyncio.timeout(LIMIT_SECONDS):
            return await case.run(lab)
    finally:
        for task in list(lab.tasks):
            task.cancel()


def main(folder, case):
    """Runs a case and exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. Whatever happens, all
    processes that it started have ended by then."""
    # SIGTERM must not leave processes behind either.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    lab, code, verdict = None, 2, "could not run: stopped"
    try:
        lab = case.make(folder)
        broken = asyncio.run(run_limited(lab, case))
        code, verdict = (1, "BROKEN: " + broken) if broken else (0, "held")
    except CannotRun as fault:
        verdict = f"could not run: {fault}"
    except TimeoutError:
        verdict = "could not run: out of time"
    except Exception:  # a fault of a stand-in says nothing about the rule
        verdict = "could not run: " + traceback.format_exc()
    finally:
        if lab:
            lab.record(verdict)
            lab.close()
    print(verdict)
    sys.exit(code)
