"""A small site on loopback for the review's scripts: starts the project's programs with the commands of the deploy file
and plays clients, routers, backend servers and an operator as the platform's pages describe them.

Every machine has a loopback address of its own; ports are the same on all machines, as on the platform. All that is
sent, answered and run goes into record.txt of the case's folder, one JSON object a line.
"""

import asyncio
import binascii
import hashlib
import json
import os
import random
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import tomllib
import traceback

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
SYN, ACK, FIN, RST, BOUNCED = 16, 2, 4, 8, 128
HEADER = struct.Struct(">IHIHIHBBIII")  # sum dport dst sport src len flags pad echo seq ack
BROKEN, HELD, NOT_RUN = 21, 0, 2  # run.sh exits with 1 for 21 and with 2 for all but 21 and 0
RUN_LIMIT_S = 115


def trouble():
    return os.environ.get("TROUBLE", "1") != "0"


def host_number(host):
    return int.from_bytes(socket.inet_aton(host), "big")


def host_text(number):
    return socket.inet_ntoa(number.to_bytes(4, "big"))


class Packet:
    """A packet of PROTOCOL.md. The sum here is a CRC over the fields that the page names."""

    __slots__ = ("dport", "dst", "sport", "src", "flags", "pad", "echo", "seq", "ack", "data", "sum")

    def __init__(self, src, sport, dst, dport, flags, seq, ack, data=b""):
        self.src, self.sport, self.dst, self.dport = src, sport, dst, dport
        self.flags, self.seq, self.ack, self.data = flags, seq & 0xFFFFFFFF, ack & 0xFFFFFFFF, data
        self.pad = self.echo = 0
        self.sum = self.computed_sum()

    def computed_sum(self):
        fields = HEADER.pack(0, self.dport, self.dst, self.sport, self.src, len(self.data), self.flags & ~BOUNCED, 0,
                             0, self.seq, self.ack)
        return binascii.crc32(fields + self.data, 0x5EED) or 1

    def encode(self):
        return HEADER.pack(self.sum, self.dport, self.dst, self.sport, self.src, len(self.data), self.flags, self.pad,
                           self.echo, self.seq, self.ack) + self.data

    @classmethod
    def decode(cls, raw):
        if len(raw) < HEADER.size:
            return None
        packet = cls.__new__(cls)
        (packet.sum, packet.dport, packet.dst, packet.sport, packet.src, length, packet.flags, packet.pad, packet.echo,
         packet.seq, packet.ack) = HEADER.unpack_from(raw)
        packet.data = bytes(raw[HEADER.size:])
        return packet if length == len(packet.data) else None

    def is_intact(self):
        return self.sum == self.computed_sum()

    def is_system_reset(self):
        return self.flags & RST and self.sum == 0


class Record:
    def __init__(self, folder):
        self.start = time.monotonic()
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")

    def now(self):
        return round(time.monotonic() - self.start, 4)

    def write(self, event, **fields):
        self.file.write(json.dumps({"at": self.now(), "event": event, **fields}) + "\n")

    def close(self):
        self.file.close()


class Datagrams(asyncio.DatagramProtocol):
    def __init__(self, handle):
        self.handle = handle

    def datagram_received(self, data, address):
        self.handle(data)

    def error_received(self, error):
        pass


async def open_datagrams(address, handle):
    loop = asyncio.get_running_loop()
    transport, _ = await loop.create_datagram_endpoint(lambda: Datagrams(handle), local_addr=address)
    return transport


async def http(method, address, path, body=None, timeout=1.0, redirects=2):
    """One HTTP/1.1 call; returns (status, body), status 0 when there is no response in time."""
    try:
        return await asyncio.wait_for(_http(method, address, path, body, redirects), timeout)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError, IndexError):
        return 0, b""


async def _http(method, address, path, body, redirects):
    host, port = address.split(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        data = body.encode() if isinstance(body, str) else (body or b"")
        kind = "Content-Type: application/json\r\n" if data else ""
        writer.write(f"{method} {path} HTTP/1.1\r\nHost: {address}\r\n{kind}Content-Length: {len(data)}\r\n"
                     f"Connection: close\r\n\r\n".encode() + data)
        await writer.drain()
        head = await reader.readuntil(b"\r\n\r\n")
        lines = head.decode().split("\r\n")
        status = int(lines[0].split()[1])
        headers = {name.lower(): value.strip() for name, _, value in (line.partition(":") for line in lines[1:])}
        answer = await reader.readexactly(int(headers.get("content-length", "0")))
    finally:
        writer.close()
    if status == 307 and redirects > 0:
        target = headers["location"].removeprefix("http://")
        return await _http(method, target.split("/", 1)[0], "/" + target.split("/", 1)[1], body, redirects - 1)
    return status, answer


class Program:
    """One process of the project, started as the deploy file says."""

    def __init__(self, site, role, name, settings):
        self.site, self.role, self.name = site, role, name
        self.path = os.path.join(site.folder, f"{name}-{role}.json")
        self.log = os.path.join(site.folder, f"{name}-{role}.log")
        self.settings = settings
        self.process = None
        self.stopped = False

    def start(self):
        with open(self.path, "w", encoding="utf-8") as file:
            json.dump(self.settings, file, indent=2)
        words = self.site.deploy["roles"][self.role]["run"].split()
        words = [self.path if word == "/etc/yuccahook/node.json" else word for word in words]
        environment = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        environment["YUCCAHOOK_NODE_FILE"] = self.path
        with open(self.log, "ab") as log:
            self.process = subprocess.Popen(words, cwd=ROOT, stdout=log, stderr=log, env=environment)
        self.site.record.write("start", name=self.name, role=self.role)

    def send(self, number):
        if self.process and self.process.poll() is None:
            self.process.send_signal(number)
        self.stopped = number == signal.SIGSTOP
        self.site.record.write("signal", name=self.name, role=self.role, signal=signal.Signals(number).name)

    def kill(self):
        self.send(signal.SIGKILL)
        self.process.wait()

    def running(self):
        return self.process is not None and self.process.poll() is None


class Site:
    """Machines, programs and stand-ins of one case."""

    HEARTBEAT_MS = 1200
    REUSE_S = 2
    MAX_FLOW_S = 60

    def __init__(self, folder, prefix):
        self.record = Record(folder)
        self.prefix = prefix  # of the machines' loopback addresses, as "127.61"
        self.random = random.Random(os.urandom(8))
        with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as file:
            self.deploy = tomllib.load(file)
        self.folder = tempfile.mkdtemp(prefix="yuccahook-review-")
        names = ("packets", "outbound", "readiness", "control", "app", "internal", "trunk")
        self.ports = dict(zip(names, self.free_ports(len(names))))
        self.zones = []
        self.controls, self.balancers, self.agents, self.targets = {}, {}, {}, {}
        self.tasks = []
        self.transports = []
        self.clients = {}
        self.machines = 0

    def free_ports(self, count):
        ports = []
        while len(ports) < count:
            port = self.random.randrange(12_000, 30_000)
            try:
                for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                    with socket.socket(socket.AF_INET, kind) as probe:
                        probe.bind(("127.0.0.1", port))
            except OSError:
                continue
            if port not in ports:
                ports.append(port)
        return ports

    def new_ip(self):
        self.machines += 1
        return f"{self.prefix}.{self.machines // 200}.{self.machines % 200 + 1}"

    def at(self, ip, port):
        return f"{ip}:{self.ports[port]}"

    # Programs. The settings are what the templates of the deploy file give.

    def common(self, name, zone, operator):
        return {"name": name, "domain": zone, "regions": {zone: "region" for zone in self.zones}, "operator": operator,
                "control": [self.at(ip, "control") for ip in self.seeds], "controlPort": self.ports["internal"]}

    def start_controls(self, zones, seeds=3):
        ips = [self.new_ip() for _ in zones]
        self.seeds = ips[:seeds]
        for ip, zone in zip(ips, zones):
            self.start_control(ip, zone, True)
        return ips

    def start_control(self, ip, zone, bootstrap):
        name = f"frontend-{zone}-{ip.rsplit('.', 1)[1]}"
        settings = self.common(name, zone, self.at(ip, "control"))
        settings["controlInstance"] = {"listen": self.at(ip, "internal"), "data": os.path.join(self.folder, "data-" + ip),
                                       "founds": bootstrap}
        program = Program(self, "control", name, settings)
        program.ip, program.zone, program.data = ip, zone, settings["controlInstance"]["data"]
        self.controls[ip] = program
        program.start()
        return program

    def start_balancer(self, zone, link_mbps=1000.0):
        ip = self.new_ip()
        name = f"frontend-{zone}-{ip.rsplit('.', 1)[1]}"
        settings = self.common(name, zone, self.at(ip, "readiness"))
        settings["balancer"] = {"packets": {"listen": self.at(ip, "packets"), "trunk": self.at(ip, "trunk"),
                                            "linkMegabitsPerSecond": link_mbps}}
        program = Program(self, "balancer", name, settings)
        program.ip, program.zone, program.ready, program.misses = ip, zone, False, 2
        self.balancers[ip] = program
        program.start()
        self.tasks.append(asyncio.ensure_future(self.poll_readiness(program)))
        return program

    def start_agent(self, zone):
        ip = self.new_ip()
        name = f"side-{zone}-{ip.rsplit('.', 1)[1]}"
        settings = self.common(name, zone, self.at(ip, "control"))
        settings["health"] = self.at(ip, "readiness")
        settings["agent"] = {"packets": {"listen": self.at(ip, "packets"), "outbound": self.at(ip, "outbound"),
                                         "backend": self.at(ip, "app"), "announceMillis": self.HEARTBEAT_MS,
                                         "reuseSeconds": self.REUSE_S, "maximumFlowSeconds": self.MAX_FLOW_S},
                             "leaveSeconds": 4}
        program = Program(self, "agent", name, settings)
        program.ip, program.zone = ip, zone
        self.agents[ip] = program
        program.start()
        return program

    async def poll_readiness(self, balancer):
        """As the routers do: twice a second; out of rotation after two misses."""
        while True:
            status, _ = await http("GET", self.at(balancer.ip, "readiness"), "/api/readiness", timeout=0.5)
            balancer.misses = 0 if status == 200 else balancer.misses + 1
            if balancer.ready != (balancer.misses < 2):
                balancer.ready = not balancer.ready
                self.record.write("rotation", balancer=balancer.name, ready=balancer.ready)
            await asyncio.sleep(0.5)

    def route_packet(self, zone, raw):
        """Sends a client's packet to a balancer in rotation, chosen by a steady hash of its addresses and ports."""
        ready = [balancer for balancer in self.balancers.values() if balancer.ready]
        chosen = [balancer for balancer in ready if balancer.zone == zone] or ready
        if not chosen:
            return None
        packet = Packet.decode(raw)
        key = f"{packet.src}:{packet.sport}:{packet.dst}:{packet.dport}".encode()
        best = max(chosen, key=lambda balancer: hashlib.md5(key + balancer.ip.encode()).digest())
        self.sender.sendto(raw, (best.ip, self.ports["packets"]))
        return best

    # Operator.

    async def order(self, method, path, body=None, nodes=None, limit_s=12):
        """Sends one order until it has a clear response: each node in turn, one second each. Returns (status, body)."""
        nodes = list(nodes or self.controls)
        end, attempt = time.monotonic() + limit_s, 0
        while time.monotonic() < end:
            ip = nodes[attempt % len(nodes)]
            attempt += 1
            self.record.write("order sent", method=method, path=path, node=ip, version=version_of(body))
            status, answer = await http(method, self.at(ip, "control"), path, body, timeout=1.0)
            self.record.write("order answered", method=method, path=path, node=ip, status=status)
            if status in (200, 400, 409, 412, 413, 422):
                return status, answer
            await asyncio.sleep(min(0.05 * 2 ** attempt, 0.8))
        return 0, b""

    def configuration(self, version, routes, services, idle_ms=15_000):
        """A complete configuration. `routes`: (host, port, service, kind, timeoutMs, latencyGoalMs, priority)."""
        return json.dumps({
            "version": version,
            "routes": [{"name": f"r-{host.replace('.', '-')}-{port}", "host": host, "pathPrefix": f"/{port}/",
                        "kind": kind, "timeoutMs": timeout, "latencyGoalMs": goal, "priority": priority,
                        "service": service, "maxAttempts": 2}
                       for host, port, service, kind, timeout, goal, priority in routes],
            "services": [{"name": name, "healthPath": "/health", "connectionLimit": 2000, "protocol": "h1",
                          "tls": False} for name in services],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000,
                       "idleTimeoutMs": idle_ms}})

    # Life.

    async def __aenter__(self):
        self.sender = await open_datagrams(("127.0.0.1", 0), lambda data: None)
        return self

    async def __aexit__(self, kind, value, trace):
        for task in self.tasks:
            task.cancel()
        programs = [*self.balancers.values(), *self.agents.values(), *self.controls.values()]
        programs = [program for program in programs if isinstance(program, Program)]
        self.crashed = [program for program in programs
                        if program.process.poll() is not None and program.process.returncode not in (0, -9, -15)]
        for program in programs:
            if program.running():
                program.process.send_signal(signal.SIGCONT)
                program.process.kill()
        for program in programs:
            program.process.wait()
        if os.environ.get("KEEP_LOGS"):
            print("logs:", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)
        self.record.close()

    def require_running(self):
        """Raises NotReady unless every program that the case has started, and not killed for good, still runs."""
        programs = [*self.balancers.values(), *self.agents.values(), *self.controls.values()]
        ended = [f"{program.name} ({program.role})" for program in programs if not program.running()]
        if ended:
            raise NotReady("ended by themselves: " + ", ".join(ended))

    async def wait_until(self, what, condition, limit_s=20):
        end = time.monotonic() + limit_s
        while time.monotonic() < end:
            if condition():
                return
            await asyncio.sleep(0.05)
        raise NotReady(what)

    async def wait_for_service(self, service, count, limit_s=20):
        """Waits until control instances know `count` agents of the service, as their operators see it."""
        end = time.monotonic() + limit_s
        while time.monotonic() < end:
            for ip in self.controls:
                status, answer = await http("GET", self.at(ip, "control"), "/members")
                if status == 200:
                    members = json.loads(answer)["members"]
                    if sum(1 for member in members if member["service"] == service) >= count:
                        return
            await asyncio.sleep(0.2)
        raise NotReady(f"{count} agents of {service}")


def version_of(body):
    try:
        return json.loads(body)["version"] if body else None
    except ValueError:
        return None


class NotReady(Exception):
    """The site did not come up, so the case could not run."""


class Target:
    """A backend server beside an agent: flows of one request each or of many, and heartbeats."""

    def __init__(self, site, agent, service, identity, slots=7, work_ms=20):
        self.site, self.agent, self.service, self.id = site, agent, service, identity
        self.slots, self.work_ms = slots, work_ms
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.state = "ready"
        self.flows = {}  # by (src, sport, dst, dport): [own first seq, expected client seq, own next seq, open, ended]
        self.transport = None
        self.alive = False
        self.drain_acked = None

    async def start(self):
        """Starts to serve, and says so at once."""
        self.transport = await open_datagrams((self.agent.ip, self.site.ports["app"]), self.receive)
        self.alive = True
        self.site.record.write("target starts", target=self.id, service=self.service, machine=self.agent.name)
        self.beats = asyncio.ensure_future(self.beat_periodically())
        self.site.tasks.append(self.beats)

    def crash(self):
        self.alive = False
        self.beats.cancel()
        self.transport.close()
        self.flows.clear()
        self.site.record.write("target crashes", target=self.id, machine=self.agent.name)

    async def beat(self):
        self.sequence += 1
        body = {"service": self.service, "address": f"{self.agent.ip}:{self.site.ports['app']}",
                "zone": self.agent.zone, "version": "v1", "slots": self.slots, "state": self.state,
                "coldRemainingMs": 0, "sequence": self.sequence, "born": self.born}
        status, _ = await http("PUT", self.site.at(self.agent.ip, "control"), f"/api/instances/{self.id}",
                               json.dumps(body))
        self.site.record.write("heartbeat", target=self.id, sequence=body["sequence"], state=body["state"],
                               status=status)
        if status == 200 and body["state"] == "draining" and self.drain_acked is None:
            self.drain_acked = self.site.record.now()
        return status

    async def beat_periodically(self):
        while True:
            status = await self.beat()
            await asyncio.sleep(self.site.HEARTBEAT_MS / 1000 if status == 200 else 0.2)

    def send(self, packet):
        if self.alive:
            self.transport.sendto(packet.encode(), (self.agent.ip, self.site.ports["outbound"]))

    def bounce(self, packet):
        packet.flags |= BOUNCED
        packet.pad = 0
        self.send(packet)

    def receive(self, raw):
        packet = Packet.decode(raw)
        if not packet or not self.alive:
            return
        key = (packet.src, packet.sport, packet.dst, packet.dport)
        if not packet.is_intact():
            self.site.record.write("forged", target=self.id)
            return
        if packet.flags & SYN:
            self.receive_syn(key, packet)
            return
        flow = self.flows.get(key)
        if flow is None:
            self.site.record.write("target bounces", target=self.id, sport=packet.sport, seq=packet.seq)
            self.bounce(packet)
            return
        if not flow["open"]:
            if packet.ack != (flow["seq"] + 1) & 0xFFFFFFFF:
                self.bounce(packet)
                return
            flow["open"] = True
            self.site.record.write("flow opens", target=self.id, service=self.service, sport=packet.sport,
                                   dst=host_text(packet.dst), dport=packet.dport)
        if packet.flags & RST:
            del self.flows[key]
            return
        if packet.data and packet.seq == flow["expected"]:
            flow["expected"] = (flow["expected"] + len(packet.data)) & 0xFFFFFFFF
            self.run(key, flow, packet.data)
        elif packet.data:
            self.reply(key, ACK, flow["next"], flow["expected"])
        if packet.flags & FIN and packet.seq + len(packet.data) & 0xFFFFFFFF == flow["expected"]:
            flow["expected"] = (flow["expected"] + 1) & 0xFFFFFFFF
            self.reply(key, ACK | FIN, flow["next"], flow["expected"])
            flow["next"] = (flow["next"] + 1) & 0xFFFFFFFF

    def receive_syn(self, key, packet):
        if packet.flags & ACK:
            self.site.record.write("forged", target=self.id)
            return
        flow = self.flows.get(key)
        if flow is None:
            seq = self.site.random.getrandbits(32)
            flow = {"seq": seq, "expected": packet.seq + 1 & 0xFFFFFFFF, "next": seq + 1 & 0xFFFFFFFF, "open": False}
            self.flows[key] = flow
            self.site.record.write("target takes syn", target=self.id, service=self.service, sport=packet.sport,
                                   dst=host_text(packet.dst), dport=packet.dport, copy=packet.ack)
        self.reply(key, SYN | ACK, flow["seq"], flow["expected"])

    def run(self, key, flow, data):
        words = data.decode(errors="replace").split()
        self.site.record.write("target runs", target=self.id, service=self.service, request=words[1:2])
        asyncio.get_running_loop().call_later(self.work_ms / 1000, self.answer, key, words)

    def answer(self, key, words):
        flow = self.flows.get(key)
        if not self.alive or flow is None:
            return
        data = f"ANSWER {words[1]} {self.id} {self.service}".encode()
        flow["sent"] = (flow["next"], data)
        self.reply(key, ACK, flow["next"], flow["expected"], data)
        flow["next"] = (flow["next"] + len(data)) & 0xFFFFFFFF

    def reply(self, key, flags, seq, ack, data=b""):
        src, sport, dst, dport = key
        self.send(Packet(dst, dport, src, sport, flags, seq, ack, data))

    async def leave(self):
        status, _ = await http("DELETE", self.site.at(self.agent.ip, "control"), f"/api/instances/{self.id}")
        self.site.record.write("target leaves", target=self.id, status=status)
        self.crash()


class SlowPath:
    """The path of a server's calls to its agent. While it is held, calls that were sent wait in it, as behind a partition.
    They arrive when they are released, whether or not their sender still runs."""

    def __init__(self, site, machine):
        self.site, self.target, self.held, self.waiting = site, site.at(machine.ip, "control"), False, []

    async def start(self):
        self.server = await asyncio.start_server(self.relay, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]
        return self

    async def relay(self, reader, writer):
        try:
            head = await reader.readuntil(b"\r\n\r\n")
            length = [int(line.split(b":")[1]) for line in head.split(b"\r\n") if line.lower().startswith(b"content-length")]
            request = head + await reader.readexactly(length[0] if length else 0)
            if self.held:
                self.waiting.append(request)
                await reader.read()  # no answer: the sender gives up after a second
                return
            writer.write(await self.deliver(request))
            await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def deliver(self, request):
        host, port = self.target.split(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(request)
        await writer.drain()
        answer = await asyncio.wait_for(reader.read(), 2)
        writer.close()
        return answer

    def heal(self):
        """Lets new calls pass. Those that were held up still arrive late, at `release`."""
        self.held = False
        self.site.record.write("path heals", waiting=len(self.waiting))

    async def release(self):
        for request in self.waiting:
            self.site.record.write("delayed call arrives", request=request.split(b"\r\n\r\n")[1].decode())
            await self.deliver(request)
            await asyncio.sleep(0.05)


class TargetBehindPath(Target):
    """A server whose heartbeats take that path."""

    path = None

    async def beat(self):
        site, self.site = self.site, Redirected(self.site, self.path.address)
        try:
            return await super().beat()
        finally:
            self.site = site


class Redirected:
    """The site, with the path's address in place of the agent's for heartbeats."""

    def __init__(self, site, address):
        self._site, self._address = site, address

    def at(self, ip, port):
        return self._address if port == "control" else self._site.at(ip, port)

    def __getattr__(self, name):
        return getattr(self._site, name)


class Client:
    """Opens flows from one address; each request is one packet, retransmitted as the page says."""

    def __init__(self, site, zone, ip):
        self.site, self.zone, self.ip = site, zone, ip
        self.number = host_number(ip)
        self.next_port = site.random.randrange(1024, 20_000)
        self.flows = {}

    async def start(self):
        self.transport = await open_datagrams((self.ip, self.site.ports["packets"]), self.receive)
        return self

    def receive(self, raw):
        packet = Packet.decode(raw)
        if not packet:
            return
        flow = self.flows.get(packet.dport)
        if flow and (packet.src, packet.sport) == (flow.dst, flow.dport):
            flow.receive(packet)

    def flow(self, dst, dport):
        self.next_port += 1
        flow = Flow(self, self.next_port, host_number(dst), dport)
        self.flows[flow.sport] = flow
        return flow


class Flow:
    def __init__(self, client, sport, dst, dport):
        self.client, self.site = client, client.site
        self.sport, self.dst, self.dport = sport, dst, dport
        self.seq = self.site.random.getrandbits(32)
        self.ack = 0
        self.state = "new"
        self.unacknowledged = None
        self.waiting = {}  # request id: future
        self.opened = None
        self.reset_by = None
        self.sent_at = None

    def transmit(self, packet):
        return self.site.route_packet(self.client.zone, packet.encode())

    def packet(self, flags, seq, data=b""):
        return Packet(self.client.number, self.sport, self.dst, self.dport, flags, seq, self.ack, data)

    async def open(self):
        """Returns whether the flow opened. Copies of the SYN go out after 200 and 600 ms; the end is at 1.4 s."""
        self.opened = asyncio.get_running_loop().create_future()
        self.state = "opening"
        first = self.seq
        self.seq = first + 1 & 0xFFFFFFFF
        self.sent_at = self.site.record.now()
        begin = time.monotonic()
        for copy, until in ((0, 0.2), (1, 0.6), (2, 1.4)):
            packet = Packet(self.client.number, self.sport, self.dst, self.dport, SYN, first, copy)
            via = self.transmit(packet)
            self.site.record.write("syn", sport=self.sport, dst=host_text(self.dst), dport=self.dport, copy=copy,
                                   via=via.name if via else None)
            try:
                return await asyncio.wait_for(asyncio.shield(self.opened), begin + until - time.monotonic())
            except asyncio.TimeoutError:
                continue
        self.state = "failed"
        return False

    def receive(self, packet):
        if packet.flags & RST:
            if self.state == "opening":
                self.state = "refused"
                self.opened.set_result(False)
                self.site.record.write("refused", sport=self.sport)
            elif self.state == "open":
                distance = packet.seq - self.ack & 0xFFFFFFFF
                accepted = min(distance, 2**32 - distance) <= 76_800
                self.site.record.write("reset", sport=self.sport, by="system" if packet.is_system_reset() else "target",
                                       accepted=accepted)
                if accepted:
                    self.reset_by = "system" if packet.is_system_reset() else "target"
                    self.state = "reset"
                    for future in self.waiting.values():
                        if not future.done():
                            future.set_result(None)
            return
        if not packet.is_intact():
            self.site.record.write("forged", sport=self.sport)
            return
        if packet.flags & SYN:
            if self.state == "opening":
                self.ack = packet.seq + 1 & 0xFFFFFFFF
                self.state = "open"
                self.transmit(self.packet(ACK, self.seq))
                self.opened.set_result(True)
            elif self.state == "open":
                self.transmit(self.packet(ACK, self.seq))
            return
        if self.state != "open":
            return
        if self.unacknowledged and packet.ack == self.unacknowledged:
            self.unacknowledged = None
        if packet.data:
            if packet.seq == self.ack:
                self.ack = self.ack + len(packet.data) & 0xFFFFFFFF
                words = packet.data.decode(errors="replace").split()
                future = self.waiting.get(words[1])
                self.site.record.write("answer", sport=self.sport, request=words[1], target=words[2], service=words[3])
                if future and not future.done():
                    future.set_result(words)
            self.transmit(self.packet(ACK, self.seq))
        if packet.flags & FIN and packet.seq + len(packet.data) & 0xFFFFFFFF == self.ack:
            self.ack = self.ack + 1 & 0xFFFFFFFF
            self.transmit(self.packet(ACK, self.seq))

    async def request(self, identity, timeout_s, body=""):
        """Sends one request; returns the words of the answer, or None at a reset or the deadline."""
        data = f"REQUEST {identity} {body}".encode()
        future = asyncio.get_running_loop().create_future()
        self.waiting[identity] = future
        packet = self.packet(ACK, self.seq, data)
        self.seq = self.seq + len(data) & 0xFFFFFFFF
        self.unacknowledged = self.seq
        self.site.record.write("request", sport=self.sport, request=identity)
        end, wait = time.monotonic() + timeout_s, 0.2
        while time.monotonic() < end and self.state == "open":
            if self.unacknowledged is not None:
                packet.ack = self.ack
                packet.sum = packet.computed_sum()
                self.transmit(packet)
            try:
                return await asyncio.wait_for(asyncio.shield(future), min(wait, end - time.monotonic()))
            except asyncio.TimeoutError:
                wait = min(wait * 2, 1.6)
        return future.result() if future.done() else None

    def close(self):
        if self.state == "open":
            self.transmit(self.packet(ACK | FIN, self.seq))
            self.state = "closed"


def run(main):
    """Runs the case and exits with its result; 2 when it could not run."""
    folder = os.path.dirname(os.path.abspath(sys.argv[0]))
    if not os.path.exists(os.path.join(ROOT, "target", "yuccahook")):
        print("target/yuccahook is not built")
        sys.exit(NOT_RUN)
    signal.signal(signal.SIGTERM, signal.default_int_handler)  # the processes of the case are ended on this, too
    try:
        code, text = asyncio.run(asyncio.wait_for(main(folder), RUN_LIMIT_S))
    except NotReady as fault:
        code, text = NOT_RUN, f"not ready: {fault}"
    except (Exception, KeyboardInterrupt):  # a fault of a stand-in says nothing about the rule
        code, text = NOT_RUN, traceback.format_exc()
    print(text)
    sys.exit(code)
