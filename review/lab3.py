"""Starts control instances, balancers and agents of the deploy file on loopback addresses, with small stand-ins of the
platform, its backend servers, its clients and its operator. Used by the scripts of cases 11 and later."""

import asyncio
import json
import os
import random
import re
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import tomllib
import zlib

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
SYN, ACK, FIN, RST, BOUNCED = 16, 2, 4, 8, 128
HEADER = struct.Struct(">IH4sH4sHBBIII")
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
RETRANSMIT_SECONDS = (0.2, 0.6, 1.4)
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

    def send_signal(self, number):
        self.popen.send_signal(number)
        self.lab.record(f"{self.name} gets {signal.Signals(number).name}")

    def kill(self, wipe=False):
        if self.popen and self.popen.poll() is None:
            self.popen.kill()
            self.popen.wait()
        if wipe:
            shutil.rmtree(self.data, ignore_errors=True)
        self.lab.record(f"{self.name} is killed" + (" and has lost its disk" if wipe else ""))

    def log_lines(self, event):
        with open(os.path.join(self.lab.folder, self.name + ".log"), encoding="utf-8", errors="replace") as file:
            return [line.strip() for line in file if f'"event":"{event}"' in line]


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
            if node.popen and node.popen.poll() is None:
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


def pack(src, sport, dst, dport, flags, seq, ack, data=b""):
    body = HEADER.pack(0, dport, socket.inet_aton(dst), sport, socket.inet_aton(src), len(data), flags, 0, 0,
                       seq & 0xffffffff, ack & 0xffffffff) + data
    return struct.pack(">I", zlib.crc32(body[4:18] + body[24:] + bytes([flags]), 0x5eed) or 1) + body[4:]


class Packet:
    def __init__(self, raw):
        (self.sum, self.dport, dst, self.sport, src, self.len, self.flags, self.pad, self.echo, self.seq,
         self.ack) = HEADER.unpack(raw[:32])
        self.src, self.dst, self.data, self.raw = socket.inet_ntoa(src), socket.inet_ntoa(dst), raw[32:], raw

    def is_true(self):
        """Whether a client or a backend server wrote the packet so."""
        flags = self.flags & ~BOUNCED
        return self.sum == (zlib.crc32(self.raw[4:18] + self.raw[24:] + bytes([flags]), 0x5eed) or 1)


class Datagrams(asyncio.DatagramProtocol):
    def __init__(self, handle):
        self.handle = handle

    def datagram_received(self, data, addr):
        if len(data) >= 32:
            self.handle(Packet(data))


class Backend:
    """A backend server beside an agent: takes flows, runs requests in its slots, reports itself."""

    def __init__(self, lab, agent, service, slots=2, work=0.02):
        self.lab, self.agent, self.service, self.slots, self.work = lab, agent, service, slots, work
        self.id = f"i-{random.randrange(16 ** 10):010x}"
        self.report_to = agent.control
        self.tasks = []
        self.born = int(time.time() * 1000)
        self.flows = {}
        self.arrivals = []  # time of arrival and sending of each opening packet whose flow opened
        self.sequence = 0
        self.state = "ready"
        self.cold_until = 0.0
        self.outbound = (agent.ip, lab.ports["outbound"])
        self.running = asyncio.Semaphore(slots)

    async def start(self):
        self.transport, _ = await asyncio.get_running_loop().create_datagram_endpoint(
            lambda: Datagrams(self.handle), local_addr=(self.agent.ip, self.lab.ports["app"]))
        self.tasks.append(self.lab.spawn(self.report_forever()))

    def crash(self):
        """Ends at once: discards its flows and says nothing."""
        for task in self.tasks:
            task.cancel()
        self.transport.close()
        self.lab.record(f"{self.agent.name}'s server {self.id} crashes")

    async def report_forever(self):
        await asyncio.sleep(random.uniform(0, self.lab.heartbeat_ms / 1000))
        while True:
            began = time.monotonic()
            await self.report()
            await asyncio.sleep(max(0.0, began + self.lab.heartbeat_ms / 1000 - time.monotonic()))

    async def report(self):
        self.sequence += 1
        cold = max(0, int((self.cold_until - time.monotonic()) * 1000))
        status, _ = await http(self.report_to, "PUT", f"/api/instances/{self.id}", {
            "service": self.service, "address": f"{self.agent.ip}:{self.lab.ports['app']}", "zone": self.agent.zone,
            "version": "v1", "slots": self.slots, "state": self.state, "coldRemainingMs": cold,
            "sequence": self.sequence, "born": self.born})
        self.lab.record(f"{self.agent.name}'s server {self.id} reports, sequence {self.sequence}, coldRemainingMs {cold}:"
                        f" {status or 'no response'}")
        return status

    def send(self, packet, flags, seq, ack, data=b""):
        self.transport.sendto(pack(packet.dst, packet.dport, packet.src, packet.sport, flags, seq, ack, data),
                              self.outbound)

    def handle(self, packet):
        key = (packet.src, packet.sport, packet.dst, packet.dport)
        flow = self.flows.get(key)
        if not packet.is_true():
            self.lab.record(f"{self.agent.name}'s server: a packet that its sender did not write")
            return
        if packet.flags & SYN and not packet.flags & ACK:
            if not flow:
                flow = self.flows[key] = {"seq": random.randrange(1 << 32), "open": False, "ran": False,
                                          "arrived": time.monotonic(), "syn": packet}
            self.send(packet, SYN | ACK, flow["seq"], packet.seq + 1)
            return
        if not flow:
            raw = bytearray(packet.raw)
            raw[18] |= BOUNCED
            raw[19] = 0
            self.transport.sendto(bytes(raw), self.outbound)
            return
        if not flow["open"] and packet.ack == (flow["seq"] + 1) & 0xffffffff:
            flow["open"] = True
        if flow["open"] and packet.len and packet.data.startswith(b"KEEP "):
            if flow.get("next") != packet.seq:
                flow["next"] = packet.seq
                flow["sent"] = flow.get("sent", flow["seq"] + 1)
                answer = b"HTTP/1.1 200 OK " + packet.data.split(b" ")[1]
                self.send(packet, ACK, flow["sent"], packet.seq + packet.len, answer)
                flow["sent"] += len(answer)
            return
        if flow["open"] and packet.len and not flow["ran"]:
            flow["ran"] = True
            identity = packet.data.split(b" ")[1].decode()
            self.arrivals.append((flow["arrived"], time.monotonic(), identity))
            self.lab.spawn(self.run(packet, flow, identity))
        elif packet.flags & FIN:
            self.send(packet, ACK, flow["seq"] + 1, packet.seq + packet.len + 1)

    async def run(self, packet, flow, identity):
        async with self.running:
            self.lab.record(f"{self.agent.name}'s server runs {identity}")
            await asyncio.sleep(self.work)
        flow["answer"] = f"HTTP/1.1 200 OK {identity} {self.id}".encode()
        self.send(packet, ACK | FIN, flow["seq"] + 1, packet.seq + packet.len, flow["answer"])


class Clients:
    """Clients of one address; each request takes a flow of its own."""

    def __init__(self, lab, balancer, port):
        self.lab, self.balancer, self.port = lab, balancer, port
        self.ip = lab.address()
        self.waiting = {}
        self.last_port = random.randrange(20_000, 30_000)
        self.outcomes = {}
        self.sent = {}  # time of each request's first packet
        self.count = 0

    async def start(self):
        self.transport, _ = await asyncio.get_running_loop().create_datagram_endpoint(
            lambda: Datagrams(self.handle), local_addr=(self.ip, self.lab.ports["packets"]))

    def handle(self, packet):
        queue = self.waiting.get(packet.dport)
        if queue:
            queue.put_nowait(packet)

    def send(self, sport, flags, seq, ack, data=b""):
        self.transport.sendto(pack(self.ip, sport, "127.200.0.1", self.port, flags, seq, ack, data),
                              (self.balancer.ip, self.lab.ports["packets"]))

    async def request(self):
        """One attempt. Returns the answer's text, or what went wrong."""
        self.last_port += 1
        self.count += 1
        sport, identity = self.last_port, f"q-{self.count}"
        queue = self.waiting[sport] = asyncio.Queue()
        outcome = await self.attempt(sport, identity, queue)
        self.outcomes[outcome.split(" ")[0]] = self.outcomes.get(outcome.split(" ")[0], 0) + 1
        self.lab.record(f"client: {identity}: {outcome}")
        del self.waiting[sport]
        return outcome

    async def attempt(self, sport, identity, queue):
        began = self.sent[identity] = time.monotonic()
        seq = random.randrange(1 << 32)
        answer = None
        for copy, until in enumerate(RETRANSMIT_SECONDS):
            self.send(sport, SYN, seq, copy)
            answer = await self.take(queue, began + until)
            if answer:
                break
        if not answer:
            return "unopened"
        if answer.flags & RST:
            return "reset-before-open"
        data = f"GET {identity} HTTP/1.1".encode()
        for wait in (0.2, 0.4, 0.8):
            self.send(sport, ACK, seq + 1, answer.seq + 1, data)
            end = time.monotonic() + wait
            while True:
                packet = await self.take(queue, end)
                if not packet:
                    break
                if packet.flags & RST:
                    return "reset-after-open"
                if packet.len:
                    self.send(sport, ACK | FIN, seq + 1 + len(data), packet.seq + packet.len + 1)
                    return f"answered {packet.data.decode()}"
        return "unanswered"

    async def take(self, queue, until):
        try:
            async with asyncio.timeout(max(0.0, until - time.monotonic())):
                return await queue.get()
        except TimeoutError:
            return None

    async def load(self, per_second, until):
        """Starts requests at a steady rate until the loop's time `until`."""
        due = time.monotonic()
        while time.monotonic() < until():
            self.lab.spawn(self.request())
            due += 1 / per_second
            await asyncio.sleep(max(0.0, due - time.monotonic()))


async def wait_for(what, condition, seconds):
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        if await condition():
            return
        await asyncio.sleep(0.1)
    raise CannotRun(f"not within {seconds} s: {what}")


async def control_site(lab, count, zones):
    """Starts the control instances with empty disks and sends version 1."""
    nodes = [lab.add(f"control-{index + 1}", "control", zones[index % len(zones)]) for index in range(count)]
    lab.seeds = [node.control for node in nodes[:3]]
    for node in nodes:
        node.start(bootstrap=True)
    return nodes


def main(folder, case):
    """Runs a case: 1 if the rule was broken, 0 if it held, 2 if the case could not run."""
    lab = None
    code = 2
    try:
        lab = case.make(folder)

        async def run():
            try:
                async with asyncio.timeout(float(os.environ.get("LIMIT", "112"))):
                    return await case.run(lab)
            finally:
                for task in list(lab.tasks):
                    task.cancel()

        broken = asyncio.run(run())
        verdict = "BROKEN: " + broken if broken else "held"
        code = 1 if broken else 0
    except CannotRun as fault:
        verdict = f"could not run: {fault}"
    except TimeoutError:
        verdict = "could not run: out of time"
    if lab:
        lab.record(verdict)
        lab.close()
    print(verdict)
    sys.exit(code)
