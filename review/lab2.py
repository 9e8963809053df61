"""Stand-ins and a small site on loopback addresses, for the scripts of cases 6 to 10.

The system's programs are started with the commands and settings templates of deploy/system.toml. Clients and targets
speak what PROTOCOL.md says: flows of packets, heartbeats, the operator's calls.
"""

import asyncio
import inspect
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
import traceback
import urllib.error
import urllib.request

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
SYN, ACK, FIN, RST, BOUNCED = 16, 2, 4, 8, 128
BEAT_SECONDS = 1.2  # heartbeatIntervalMs of the site agrct-hook
HELD, BROKEN, NOT_RUN = 0, 1, 2


def pack(src, dst, flags, seq=0, ack=0, data=b""):
    """One packet; src and dst are (address, port). The sum is not 0, as only the system's own resets have that."""
    body = struct.pack(">H4sH4sHBBLLL", dst[1], socket.inet_aton(dst[0]), src[1], socket.inet_aton(src[0]), len(data),
                       flags, 0, 0, seq, ack)
    return struct.pack(">L", (hash(body) & 0xFFFFFFFF) | 1) + body + data


class Packet:
    def __init__(self, raw):
        (self.sum, dport, dst, sport, src, self.len, self.flags, _, _, self.seq, self.ack) = struct.unpack(
            ">LH4sH4sHBBLLL", raw[:32])
        self.src = (socket.inet_ntoa(src), sport)
        self.dst = (socket.inet_ntoa(dst), dport)
        self.data = raw[32:]
        self.raw = raw


class Record:
    """What was sent, answered and run, with seconds since the start."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self.start = time.monotonic()

    def write(self, *words):
        line = f"{time.monotonic() - self.start:8.3f} " + " ".join(str(word) for word in words)
        self.file.write(line + "\n")
        self.file.flush()
        print(line, flush=True)


def render(path, fields):
    """Fills the settings template of a role: {{a}}, {{a.b|json}} and the list {{#seeds}}."""
    def value(name):
        found = fields
        for part in name.split("."):
            found = found[int(part)] if isinstance(found, list) else found.get(part)
        return found

    text = open(os.path.join(ROOT, path), encoding="utf-8").read()
    text = re.sub(r"\{\{#seeds\}\}.*?\{\{/seeds\}\}", lambda _: ", ".join(json.dumps(s) for s in fields["seeds"]), text)
    text = re.sub(r"\{\{([\w.]+)\|json\}\}", lambda m: json.dumps(value(m[1])), text)
    return re.sub(r"\{\{([\w.]+)\}\}", lambda m: str(value(m[1])), text)


class Site:
    """Machines with one address each and the same ports everywhere."""

    def __init__(self, folder):
        self.record = Record(folder)
        self.folder = tempfile.mkdtemp(prefix="case-")
        self.deploy = tomllib.load(open(os.path.join(ROOT, "deploy/system.toml"), "rb"))
        self.processes = {}
        self.prefix = f"127.{random.randrange(20, 250)}.{random.randrange(1, 250)}"
        self.ports = self._free_ports()
        self.seeds = [f"{self.address(n)}:{self.ports['control']}" for n in (11, 12, 13)]

    def address(self, number):
        return f"{self.prefix}.{number}"

    def _free_ports(self):
        names = ["packets", "readiness", "control", "internal0", "internal1", "outbound", "app"]
        while True:
            first = random.randrange(12000, 30000)
            ports = {name: first + n for n, name in enumerate(names)}
            try:
                for port in ports.values():
                    for number in (11, 12, 13, 21, 31):
                        for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                            with socket.socket(socket.AF_INET, kind) as probe:
                                probe.bind((self.address(number), port))
                return ports
            except OSError:
                continue

    def start(self, role, number, zone="coban", bootstrap=False):
        """Starts the role's program on the machine with that number; returns its name."""
        name = f"{role}-{number}"
        spec = self.deploy["roles"][role]
        settings = self.write_settings(role, number, zone, bootstrap)
        words = [settings if word.startswith("/etc/") else word for word in spec["run"].split()]
        log = open(os.path.join(self.folder, name + ".log"), "ab")
        self.processes[name] = subprocess.Popen(words, cwd=ROOT, stdout=log, stderr=log)
        log.close()
        return name

    def write_settings(self, role, number, zone="coban", bootstrap=False):
        """Writes the settings file with the present seeds; returns its path."""
        name = f"{role}-{number}"
        ip, p = self.address(number), self.ports
        data = os.path.join(self.folder, name)
        fields = {"node": name, "zone": zone, "ip": ip, "zones": {"coban": "gt", "antigua": "gt", "guate-city": "gt"},
                  "listen": {"packets": f"{ip}:{p['packets']}", "readinessAddress": f"{ip}:{p['readiness']}",
                             "control": f"{ip}:{p['control']}", "outbound": f"{ip}:{p['outbound']}"},
                  "internalPorts": [p["internal0"], p["internal1"]], "seeds": self.seeds,
                  "bootstrap": bootstrap, "dataDirectory": data, "app": f"{ip}:{p['app']}",
                  "heartbeatIntervalMs": int(BEAT_SECONDS * 1000), "limits": {"linkMbps": 1000.0},
                  "bounds": {"reuseAfterS": 2, "maxFlowS": 60}}
        settings = os.path.join(self.folder, name + ".json")
        with open(settings + ".new", "w", encoding="utf-8") as file:
            file.write(render(self.deploy["roles"][role]["template"], fields))
        os.rename(settings + ".new", settings)
        return settings

    def signal(self, name, number):
        if self.processes[name].poll() is None:
            self.processes[name].send_signal(number)

    def wait_end(self, name, seconds):
        try:
            return self.processes[name].wait(seconds)
        except subprocess.TimeoutExpired:
            return None

    def lose_disk(self, name):
        shutil.rmtree(os.path.join(self.folder, name), ignore_errors=True)
        os.makedirs(os.path.join(self.folder, name))

    def stop(self):
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
        for process in self.processes.values():
            process.wait()
        if os.environ.get("KEEP"):
            print("logs:", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)

    # The operator.

    def call(self, method, number, path, body=None, timeout=2.0, redirects=2):
        """(status, text); status 0 without a response."""
        url = path if path.startswith("http") else f"http://{self.address(number)}:{self.ports['control']}{path}"
        request = urllib.request.Request(url, data=body.encode() if body else None, method=method,
                                         headers={"Content-Type": "application/json"})
        try:
            with urllib.request.urlopen(request, timeout=timeout) as reply:
                return reply.status, reply.read().decode()
        except urllib.error.HTTPError as error:
            if error.code == 307 and redirects:
                return self.call(method, number, error.headers["Location"], body, timeout, redirects - 1)
            return error.code, error.read().decode(errors="replace")
        except OSError:
            return 0, ""

    def configure(self, configuration, numbers, seconds=20):
        """Sends a configuration to one node after the other until it is acknowledged; returns the node or None."""
        body = json.dumps(configuration)
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            for number in numbers:
                status, _ = self.call("PUT", number, "/api/configuration", body)
                self.record.write("operator: PUT version", configuration["version"], "at node", number, "->", status)
                if status == 200:
                    return number
            time.sleep(0.2)
        return None


def configuration(version, routes):
    """routes: {(address, port): service}"""
    services = sorted(set(routes.values()))
    return {"version": version,
            "routes": [{"name": f"r-{n}", "host": address, "pathPrefix": f"/{port}/", "kind": "safe",
                        "timeoutMs": 1500, "latencyGoalMs": 250, "priority": 2, "service": service, "maxAttempts": 2}
                       for n, ((address, port), service) in enumerate(routes.items())],
            "services": [{"name": service, "healthPath": "/health", "connectionLimit": 2000, "protocol": "h1",
                          "tls": False} for service in services],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000,
                       "idleTimeoutMs": 15000}}


class Dark:
    """An address of a machine without power: connections to it are neither accepted nor reset."""

    def __init__(self, address):
        self.sockets = [socket.socket()]
        self.sockets[0].setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.sockets[0].bind(address)
        self.sockets[0].listen(0)
        for _ in range(3):  # fills the queue of connections that are never accepted
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex(address)
            self.sockets.append(filler)


class Target(asyncio.DatagramProtocol):
    """A server of one service on the machine `number`: serves flows, sends heartbeats."""

    def __init__(self, site, name, service, number, work_seconds=0.05, heartbeat_address=None):
        self.site, self.name, self.service, self.number = site, name, service, number
        self.app = (site.address(number), site.ports["app"])
        self.outbound = (site.address(number), site.ports["outbound"])
        self.heartbeat_address = heartbeat_address or (site.address(number), site.ports["control"])
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.state = "ready"
        self.flows = {}  # (client, route) -> state
        self.ran = []
        self.work_seconds = work_seconds
        self.alive = False
        self.beating = None
        self.beats = set()

    async def start(self):
        loop = asyncio.get_running_loop()
        self.transport, _ = await loop.create_datagram_endpoint(lambda: self, local_addr=self.app)
        self.alive = True
        self.site.record.write("target", self.name, "of", self.service, "starts on machine", self.number)
        self.beating = asyncio.create_task(self._beat())

    def crash(self):
        self.alive = False
        self.beating.cancel()
        for beat in self.beats:
            beat.cancel()
        self.transport.close()
        self.site.record.write("target", self.name, "crashes")

    async def _beat(self):
        while True:
            beat = asyncio.create_task(self._send_heartbeat())
            self.beats.add(beat)
            beat.add_done_callback(self.beats.discard)
            await asyncio.sleep(BEAT_SECONDS)

    async def _send_heartbeat(self):
        self.sequence += 1
        sequence = self.sequence
        body = json.dumps({"service": self.service, "address": f"{self.app[0]}:{self.app[1]}", "zone": "coban",
                           "version": "v1", "slots": 7, "state": self.state, "coldRemainingMs": 0,
                           "sequence": sequence, "born": self.born})
        status = await http("PUT", self.heartbeat_address, f"/api/instances/{self.name}", body, 1.0)
        self.site.record.write("target", self.name, "heartbeat", sequence, self.state, "->", status or "no response")
        return status

    def _send(self, key, flags, seq=0, ack=0, data=b""):
        client, route = key
        if self.alive:
            self.transport.sendto(pack(route, client, flags, seq, ack, data), self.outbound)

    def datagram_received(self, raw, _):
        packet = Packet(raw)
        key = (packet.src, packet.dst)
        flow = self.flows.get(key)
        if packet.flags & SYN:
            if not flow or flow["first"] != packet.seq:
                flow = self.flows[key] = {"first": packet.seq, "own": random.getrandbits(32), "open": False,
                                          "next": (packet.seq + 1) & 0xFFFFFFFF, "ended": False}
                flow["seq"] = (flow["own"] + 1) & 0xFFFFFFFF
            self._send(key, SYN | ACK, flow["own"], flow["next"])
            return
        acknowledges = flow and (flow["open"] or packet.ack == flow["seq"])
        if not flow or not acknowledges:
            returned = bytearray(raw)
            returned[18] |= BOUNCED
            returned[19] = 0
            self.transport.sendto(bytes(returned), self.outbound)
            return
        if not flow["open"]:
            flow["open"] = True
            self.site.record.write("target", self.name, "opens flow of", packet.src, "to", packet.dst)
        if packet.flags & RST:
            self.flows.pop(key)
            return
        if packet.data and packet.seq == flow["next"]:
            flow["next"] = (packet.seq + len(packet.data)) & 0xFFFFFFFF
            asyncio.get_running_loop().create_task(self._run(key, flow, packet.data))
        elif packet.data:
            self._send(key, ACK, flow["seq"], flow["next"])
        if packet.flags & FIN and not flow["ended"]:
            flow["ended"] = True
            flow["next"] = (flow["next"] + 1) & 0xFFFFFFFF
            self._send(key, FIN | ACK, flow["seq"], flow["next"])

    async def _run(self, key, flow, data):
        request = data.decode()
        self.ran.append((request, key))
        self.site.record.write("target", self.name, "of", self.service, "runs", request, "on route", key[1])
        await asyncio.sleep(self.work_seconds)
        answer = f"{self.name} {self.service} {request}".encode()
        self._send(key, ACK, flow["seq"], flow["next"], answer)
        flow["seq"] = (flow["seq"] + len(answer)) & 0xFFFFFFFF


async def http(method, address, path, body, timeout):
    """Status of a call; None without a response in time."""
    async def call():
        reader, writer = await asyncio.open_connection(*address)
        try:
            text = body.encode()
            writer.write(f"{method} {path} HTTP/1.1\r\nHost: {address[0]}\r\nContent-Type: application/json\r\n"
                         f"Content-Length: {len(text)}\r\nConnection: close\r\n\r\n".encode() + text)
            await writer.drain()
            line = await reader.readline()
            return int(line.split()[1]) if line else None
        finally:
            writer.close()
    try:
        return await asyncio.wait_for(call(), timeout)
    except (OSError, asyncio.TimeoutError, IndexError, ValueError):
        return None


class Link:
    """A TCP link to a node. While it is held, what arrives waits in it, as behind a partition."""

    def __init__(self, target):
        self.target = target
        self.held = asyncio.Event()
        self.held.set()
        self.waiting = 0
        self.order = asyncio.Lock()

    async def start(self, address):
        self.server = await asyncio.start_server(self._serve, address, 0)
        self.address = self.server.sockets[0].getsockname()[:2]

    def hold(self):
        self.held.clear()

    def release(self):
        self.held.set()

    async def _connect(self):
        """Tries again while the node's process is not up, as long as a caller's TCP would."""
        for _ in range(100):
            try:
                return await asyncio.open_connection(*self.target)
            except ConnectionRefusedError:
                await asyncio.sleep(0.02)
        raise ConnectionRefusedError

    async def _serve(self, reader, writer):
        sent = b""
        try:
            head = await reader.readuntil(b"\r\n\r\n")
            length = int(head.lower().split(b"content-length:")[1].split(b"\r\n")[0])
            sent = head + await reader.readexactly(length)
        except (asyncio.IncompleteReadError, IndexError):
            writer.close()
            return
        if not self.held.is_set():
            self.waiting += 1
            await self.held.wait()
        try:
            async with self.order:
                far_reader, far_writer = await self._connect()
                far_writer.write(sent)
                await far_writer.drain()
                answer = await far_reader.read()
                far_writer.close()
            writer.write(answer)
            await writer.drain()
        except OSError:
            pass
        finally:
            writer.close()


class Client(asyncio.DatagramProtocol):
    """The clients at one address. The router hands their packets to the balancer on machine `balancer`."""

    def __init__(self, site, number, balancer):
        self.site, self.number = site, number
        self.host = site.address(number)
        self.balancer = (site.address(balancer), site.ports["packets"])
        self.port = random.randrange(2000, 9000)
        self.waiting = {}
        self.resets = []

    async def start(self):
        loop = asyncio.get_running_loop()
        self.transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=(self.host, self.site.ports["packets"]))
        return self

    def datagram_received(self, raw, _):
        packet = Packet(raw)
        queue = self.waiting.get(packet.dst[1])
        if queue:
            queue.put_nowait(packet)

    def send(self, flow, flags, seq, ack=0, data=b""):
        self.transport.sendto(pack((self.host, flow.port), flow.route, flags, seq, ack, data), flow.balancer)

    async def open(self, route, balancer=None):
        """Opens a flow, through another balancer if given; None if it is reset or gets no answer in 1.4 s."""
        self.port += 1
        flow = Flow(self, route, self.port)
        flow.balancer = (self.site.address(balancer), self.site.ports["packets"]) if balancer else self.balancer
        self.waiting[flow.port] = flow.packets
        start = time.monotonic()
        for copies, until in enumerate((0.2, 0.6, 1.4)):
            self.send(flow, SYN, flow.first, copies)
            while (left := start + until - time.monotonic()) > 0:
                try:
                    packet = await asyncio.wait_for(flow.packets.get(), left)
                except asyncio.TimeoutError:
                    break
                if packet.flags & RST:
                    self.waiting.pop(flow.port, None)
                    return None
                if packet.flags & SYN and packet.flags & ACK:
                    flow.ack = (packet.seq + 1) & 0xFFFFFFFF
                    self.send(flow, ACK, flow.seq, flow.ack)
                    return flow
        self.waiting.pop(flow.port, None)
        return None


class Flow:
    def __init__(self, client, route, port):
        self.client, self.route, self.port = client, route, port
        self.first = random.getrandbits(32)
        self.seq = (self.first + 1) & 0xFFFFFFFF
        self.ack = 0
        self.packets = asyncio.Queue()
        self.reset = None

    async def request(self, text, deadline):
        """The answer, or None. Missing packets are sent again, at first after 200 ms."""
        data, pause = text.encode(), 0.2
        end = time.monotonic() + deadline
        while time.monotonic() < end:
            self.client.send(self, ACK, self.seq, self.ack, data)
            try:
                packet = await asyncio.wait_for(self.packets.get(), min(pause, max(end - time.monotonic(), 0.01)))
            except asyncio.TimeoutError:
                pause = min(pause * 2, 1.6)
                continue
            if packet.flags & RST:
                self.reset = packet
                return None
            if packet.data and packet.seq == self.ack:
                self.seq = (self.seq + len(data)) & 0xFFFFFFFF
                self.ack = (self.ack + len(packet.data)) & 0xFFFFFFFF
                self.client.send(self, ACK, self.seq, self.ack)
                return packet.data.decode()
        return None

    def waiting_reset(self):
        """The reset that has arrived, if any."""
        while not self.packets.empty():
            packet = self.packets.get_nowait()
            if packet.flags & RST:
                self.reset = packet
        return self.reset

    def close(self):
        self.client.send(self, FIN | ACK, self.seq, self.ack)
        self.client.waiting.pop(self.port, None)


def run(case, folder):
    """Runs a case and exits with its result: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. Ends all
    processes that the case started."""
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(NOT_RUN))
    site, result = None, NOT_RUN
    try:
        site = Site(folder)
        result = asyncio.run(case(site)) if inspect.iscoroutinefunction(case) else case(site)
    except Exception:
        traceback.print_exc()
    finally:
        if site:
            site.stop()
    if site:
        words = {HELD: "the rule held", BROKEN: "the rule was broken", NOT_RUN: "the case couldn't run"}
        site.record.write("result:", words[result])
    sys.exit(result)
