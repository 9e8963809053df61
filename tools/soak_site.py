"""Callers, backend servers, a router and proxies for packet flows on loopback, which record what they observe."""

import asyncio
import json
import random
import struct
import time

HEADER = struct.Struct(">IHIHIHBBIII")  # sum, dport, dst, sport, src, len, flags, pad, echo, seq, ack
SYN, ACK, FIN, RST, BOUNCED = 16, 2, 4, 8, 128
PACKETS_PORT = 17_172
OUTBOUND_PORT = 17_173
BACKEND_PORT = 17_180
OPENING_PAUSES = (0.2, 0.4)  # seconds before each retransmission of an opening packet
LAST_OPENING_PAUSE = 0.8  # seconds after the last retransmission until the attempt ends
FIRST_RETRANSMIT_PAUSE = 0.2  # seconds; doubles with each retransmission of a request
LONGEST_RETRANSMIT_PAUSE = 1.6
REQUEST_SECONDS = 4.0  # after which a caller gives a request up
FLOW_ATTEMPTS = 3  # to open a flow
REPORT_SECONDS = 0.6  # between a backend server's reports to its agent
REQUEST = struct.Struct(">QB")  # id, 1 if the request must not run twice


def host_number(host):
    a, b, c, d = (int(part) for part in host.split("."))
    return a << 24 | b << 16 | c << 8 | d


def host_text(host):
    return ".".join(str(host >> shift & 255) for shift in (24, 16, 8, 0))


def packet(source, destination, flags, seq, ack, data=b"", total=1):
    return HEADER.pack(total, destination[1], destination[0], source[1], source[0], len(data), flags, 0, 0, seq,
                       ack) + data


def answer_to(request, backend):
    return request + backend.encode() + b"." * 200


class Endpoint(asyncio.DatagramProtocol):
    """A UDP socket that passes each datagram and its source to a function."""

    def __init__(self, receive):
        self.receive = receive

    def connection_made(self, transport):
        self.transport = transport

    def datagram_received(self, data, source):
        self.receive(data, source)

    def error_received(self, error):
        pass  # the peer is down; the soak observes the lost datagram itself


async def bind(host, port, receive):
    loop = asyncio.get_running_loop()
    _, endpoint = await loop.create_datagram_endpoint(lambda: Endpoint(receive), local_addr=(host, port))
    return endpoint


async def call(method, address, path, body=None, timeout=1.0):
    """Sends one HTTP request; returns (status, body), status 0 when connecting or reading exceeds `timeout` seconds."""
    host, port = address.rsplit(":", 1)
    writer = None
    try:
        reader, writer = await asyncio.wait_for(asyncio.open_connection(host, int(port)), timeout)
        data = (body or "").encode()
        writer.write(f"{method} {path} HTTP/1.1\r\nHost: {host}\r\nContent-Length: {len(data)}\r\n"
                     f"Connection: close\r\n\r\n".encode() + data)
        answer = (await asyncio.wait_for(reader.read(-1), timeout)).decode()
        return int(answer.split(" ", 2)[1]), answer.split("\r\n\r\n", 1)[1]
    except (OSError, asyncio.TimeoutError, IndexError, ValueError):
        return 0, ""
    finally:
        if writer:
            writer.close()


class Proxy:
    """A TCP proxy on loopback that can delay, reset or silence its connections, or block one direction of them."""

    def __init__(self, target):
        self.target = target
        self.mode = "pass"
        self.writers = []

    async def start(self, host):
        server = await asyncio.start_server(self.accept, host, 0)
        self.address = f"{host}:{server.sockets[0].getsockname()[1]}"

    async def accept(self, reader, writer):
        host, port = self.target.rsplit(":", 1)
        try:
            far_reader, far_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.transport.abort()
            return
        self.writers += [writer, far_writer]
        try:
            await asyncio.gather(self.copy(reader, far_writer, "there"), self.copy(far_reader, writer, "back"))
        except asyncio.CancelledError:
            pass  # the run has ended

    async def copy(self, reader, writer, direction):
        try:
            while data := await reader.read(65536):
                while self.mode in ("silent", "no-" + direction):
                    await asyncio.sleep(0.05)
                if self.mode == "delay":
                    await asyncio.sleep(0.3)
                writer.write(data)
        except OSError:
            pass  # either side reset the connection
        writer.close()

    def reset(self):
        for writer in self.writers:
            writer.transport.abort()
        self.writers = []


class Backend:
    """A backend server beside an agent: accepts flows, runs requests and reports to its agent."""

    def __init__(self, site, host, service, slots):
        self.site = site
        self.host = host
        self.service = service
        self.slots = slots
        self.alive = False
        self.count = 0

    async def start(self, report_to):
        self.report_to = report_to
        self.endpoint = await bind(self.host, BACKEND_PORT, self.receive)
        self.start_incarnation(self.service)
        asyncio.create_task(self.keep_reporting())

    def start_incarnation(self, service, born_shift_ms=0):
        """Starts the next incarnation, which has no state of the one before."""
        self.count += 1
        self.service = service
        self.id = f"{self.host}-{self.count}"
        self.born = int(time.time() * 1000) + born_shift_ms
        self.sequence = 0
        self.state = "ready"
        self.drained_at = None
        self.flows = {}
        self.alive = True

    def crash(self):
        self.alive = False
        self.flows = {}

    def incarnation(self):
        return self.id if self.alive else None

    def description(self):
        return {"service": self.service, "address": f"{self.host}:{BACKEND_PORT}", "zone": "z", "version": "v1",
                "slots": self.slots, "state": self.state, "coldRemainingMs": 0, "sequence": self.sequence,
                "born": self.born}

    async def report(self):
        self.sequence += 1
        reported, state = self.id, self.state
        body = self.description()
        status, _ = await call("PUT", self.report_to, f"/api/instances/{self.id}", json.dumps(body))
        if status == 200 and state == "draining" and self.id == reported and self.drained_at is None:
            self.drained_at = time.monotonic()
        return status == 200

    async def keep_reporting(self):
        while True:
            if self.alive:
                await self.report()
            await asyncio.sleep(REPORT_SECONDS)

    def send(self, data):
        self.endpoint.transport.sendto(data, (self.host, OUTBOUND_PORT))

    def receive(self, data, _source):
        if not self.alive:
            return
        _, dport, dst, sport, src, length, flags, _, _, seq, ack = HEADER.unpack(data[:HEADER.size])
        caller, route = (src, sport), (dst, dport)
        key = (caller, route)
        flow = self.flows.get(key)
        if not self.site.was_sent(data):
            self.site.record_violation("a backend server got a packet that no caller sent", f"{self.id} {key}")
        if flags & RST:
            self.flows.pop(key, None)
            return
        if flags & SYN:
            if flow is None:
                late = self.drained_at and time.monotonic() - self.drained_at > self.site.drain_seconds
                if late:
                    self.site.record_violation("a new flow reached a draining backend server", f"{self.id} {key}")
                if self.service not in self.site.allowed.get(route, ()):
                    self.site.record_violation("a flow reached another service", f"{self.id} {self.service} {route}")
                flow = self.flows[key] = {"seq": random.getrandbits(31), "answers": {}}
            self.send(packet(route, caller, SYN | ACK, flow["seq"], seq + 1))
            return
        # A flow opens at the backend server whose number the caller acknowledges; the others have it half-open.
        if flow is None or (length and ack != flow["seq"] + 1):
            self.send(data[:18] + bytes([flags | BOUNCED]) + data[19:])
            return
        if flags & FIN:
            self.send(packet(route, caller, FIN | ACK, flow["seq"] + 1, seq + 1))
            return
        if length:
            asyncio.create_task(self.run(key, flow, seq, data[HEADER.size:]))

    async def run(self, key, flow, seq, request):
        if seq not in flow["answers"]:
            flow["answers"][seq] = None
            self.site.record_run(request, self.id)
            await asyncio.sleep(random.uniform(0.005, 0.04))
            flow["answers"][seq] = answer_to(request, self.id)
        answer = flow["answers"][seq]
        if answer and self.flows.get(key) is flow:
            self.send(packet(key[1], key[0], ACK, flow["seq"] + 1 + seq, seq + len(request), answer))


class Caller:
    """Sends requests, some of them on flows that stay open for several, and records the answers."""

    def __init__(self, site, host):
        self.site = site
        self.host = host_number(host)
        self.port = 1024
        self.flows = {}

    async def start(self):
        self.endpoint = await bind(host_text(self.host), PACKETS_PORT, self.receive)

    def receive(self, data, _source):
        if self.site.router.drops_packet():
            return
        total, dport, dst, sport, src, length, flags, _, _, seq, ack = HEADER.unpack(data[:HEADER.size])
        queue = self.flows.get((dport, (src, sport)))
        if queue:
            queue.put_nowait((total, flags, seq, ack, data[HEADER.size:HEADER.size + length]))

    def send(self, route, port, flags, seq, ack, data=b""):
        self.site.router.route(packet((self.host, port), route, flags, seq, ack, data))

    async def next_packet(self, queue, until, accepts):
        """The next packet for which `accepts` is true; None when there is none before `until`."""
        while (remaining := until - time.monotonic()) > 0:
            try:
                received = await asyncio.wait_for(queue.get(), remaining)
            except asyncio.TimeoutError:
                return None
            if accepts(received):
                return received
        return None

    async def open(self, route, port, queue):
        """Opens a flow; returns the backend server's sequence number, None when the flow was reset or not answered."""
        for copy, pause in enumerate((*OPENING_PAUSES, LAST_OPENING_PAUSE)):
            self.send(route, port, SYN, 1, copy)
            received = await self.next_packet(queue, time.monotonic() + pause, lambda p: p[1] & (SYN | RST))
            if received:
                return None if received[1] & RST else received[2]
        return None

    async def send_request(self, route, port, queue, server, seq, request, until):
        """Sends a request on an open flow; returns the answer, None when none came in time or the flow was reset."""
        pause = FIRST_RETRANSMIT_PAUSE
        while time.monotonic() < until:
            self.send(route, port, ACK, seq, server + 1, request)
            end = min(until, time.monotonic() + pause)
            received = await self.next_packet(queue, end, lambda p: p[1] & RST or (p[4] and p[3] == seq + len(request)))
            if received and received[1] & RST:
                self.site.record_reset(request, received[0] == 0)
                return None
            if received:
                return received[4]
            pause = min(2 * pause, LONGEST_RETRANSMIT_PAUSE)
        return None

    async def run_flow(self, route, unsafe, requests, pause):
        """Opens a flow, in at most FLOW_ATTEMPTS attempts, and sends requests on it one after another; returns whether
        all were answered."""
        for _ in range(FLOW_ATTEMPTS):
            self.port += 1
            port, queue = self.port, asyncio.Queue()
            self.flows[(port, route)] = queue
            server = await self.open(route, port, queue)
            if server is not None:
                break
            del self.flows[(port, route)]
        else:
            self.site.count("unopened")
            return False
        seq, served = 2, True
        for index in range(requests):
            request = REQUEST.pack(self.site.new_request(), unsafe)
            answer = await self.send_request(route, port, queue, server, seq, request,
                                             time.monotonic() + REQUEST_SECONDS)
            served = answer is not None
            self.site.record_answer(request, answer)
            if not served:
                break
            seq += len(request)
            if index + 1 < requests:
                await asyncio.sleep(pause)
        self.send(route, port, FIN | ACK, seq, server + 1)
        del self.flows[(port, route)]
        return served

    async def keep_calling(self, rng):
        while not self.site.ending:
            routes = sorted(self.site.routes)
            if routes:
                route = rng.choice(routes)
                long = rng.random() < 0.25
                await self.run_flow(route, rng.random() < 0.3, 5 if long else 1, rng.uniform(0.1, 0.7))
            await asyncio.sleep(rng.uniform(0.02, 0.2))


class Router:
    """Sends callers' packets to balancers in rotation, as the platform's routers do."""

    def __init__(self):
        self.ready = {}
        self.failed_checks = {}
        self.loss = 0.0

    async def start(self, host, balancers):
        self.balancers = balancers  # by name: host for packets, address of the readiness check
        self.ready = dict.fromkeys(balancers, False)
        self.failed_checks = dict.fromkeys(balancers, 0)
        self.endpoint = await bind(host, PACKETS_PORT, lambda data, source: None)
        for name in balancers:
            asyncio.create_task(self.watch(name))

    async def watch(self, name):
        while True:
            status, _ = await call("GET", self.balancers[name][1], "/api/readiness", timeout=0.4)
            self.failed_checks[name] = 0 if status == 200 else self.failed_checks[name] + 1
            self.ready[name] = status == 200 or (self.ready[name] and self.failed_checks[name] < 2)
            await asyncio.sleep(0.5)

    def drops_packet(self):
        return random.random() < self.loss

    def route(self, data):
        if self.drops_packet():
            return
        names = [name for name, ready in self.ready.items() if ready] or list(self.ready)
        flow = data[4:16]
        name = max(names, key=lambda one: hash((flow, one)))  # only a leaving balancer's flows move
        self.endpoint.transport.sendto(data, (self.balancers[name][0], PACKETS_PORT))
