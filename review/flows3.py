"""Stand-ins that exchange packets of flows, for the scripts of cases 12 and later: backend servers beside agents and
clients in front of balancers. The layout is that of PROTOCOL.md; `sum` is a keyed sum that only the two ends know."""

import asyncio
import random
import socket
import struct
import time
import zlib

from lab3 import CannotRun, http

SYN, ACK, FIN, RST, BOUNCED = 16, 2, 4, 8, 128
FLAGS_OFFSET, PAD_OFFSET = 18, 19
SUM_KEY = 0x5eed
HEADER = struct.Struct(">IH4sH4sHBBIII")
RETRANSMIT_SECONDS = (0.2, 0.6, 1.4)  # of an opening packet, and the end of the attempt


def keyed_sum(raw, flags):
    """Covers all fields but `sum`, `pad`, `echo` and BOUNCED; never 0, which marks a reset of the system's own."""
    return zlib.crc32(raw[4:FLAGS_OFFSET] + raw[24:] + bytes([flags & ~BOUNCED]), SUM_KEY) or 1


def pack(src, sport, dst, dport, flags, seq, ack, data=b""):
    body = HEADER.pack(0, dport, socket.inet_aton(dst), sport, socket.inet_aton(src), len(data), flags, 0, 0,
                       seq & 0xffffffff, ack & 0xffffffff) + data
    return struct.pack(">I", keyed_sum(body, flags)) + body[4:]


class Packet:
    def __init__(self, raw):
        (self.sum, self.dport, dst, self.sport, src, self.len, self.flags, self.pad, self.echo, self.seq,
         self.ack) = HEADER.unpack(raw[:32])
        self.src, self.dst, self.data, self.raw = socket.inet_ntoa(src), socket.inet_ntoa(dst), raw[32:], raw

    def is_true(self):
        """Whether a client or a backend server wrote the packet so."""
        return self.sum == keyed_sum(self.raw, self.flags)


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
                                          "arrived": time.monotonic()}
            self.send(packet, SYN | ACK, flow["seq"], packet.seq + 1)
            return
        if not flow:
            raw = bytearray(packet.raw)
            raw[FLAGS_OFFSET] |= BOUNCED
            raw[PAD_OFFSET] = 0
            self.transport.sendto(bytes(raw), self.outbound)
            return
        if not flow["open"] and packet.ack == (flow["seq"] + 1) & 0xffffffff:
            flow["open"] = True
        if flow["open"] and packet.data.startswith(b"KEEP "):
            self.answer_kept(packet, flow)
            return
        if flow["open"] and packet.len and not flow["ran"]:
            flow["ran"] = True
            identity = packet.data.split(b" ")[1].decode()
            self.arrivals.append((flow["arrived"], time.monotonic(), identity))
            self.lab.spawn(self.run(packet, flow, identity))
        elif packet.flags & FIN:
            self.send(packet, ACK, flow["seq"] + 1, packet.seq + packet.len + 1)

    def answer_kept(self, packet, flow):
        """Answers a request of a KeptFlow at once and keeps the flow open. A retransmission gets no second answer."""
        if flow.get("last_request") == packet.seq:
            return
        flow["last_request"] = packet.seq
        answer = b"HTTP/1.1 200 OK " + packet.data.split(b" ")[1]
        sent = flow.setdefault("sent", flow["seq"] + 1)
        self.send(packet, ACK, sent, packet.seq + packet.len, answer)
        flow["sent"] = sent + len(answer)

    async def run(self, packet, flow, identity):
        async with self.running:
            self.lab.record(f"{self.agent.name}'s server runs {identity}")
            await asyncio.sleep(self.work)
        answer = f"HTTP/1.1 200 OK {identity} {self.id}".encode()
        self.send(packet, ACK | FIN, flow["seq"] + 1, packet.seq + packet.len, answer)


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


class KeptFlow:
    """A flow that a client keeps open for many requests, with pauses between them."""

    def __init__(self, lab, clients):
        self.lab, self.clients = lab, clients
        clients.last_port += 1
        self.sport = clients.last_port
        self.queue = clients.waiting[self.sport] = asyncio.Queue()
        self.number = 0

    async def open(self):
        self.seq = random.randrange(1 << 32)
        self.clients.send(self.sport, SYN, self.seq, 0)
        answer = await self.clients.take(self.queue, time.monotonic() + 1.4)
        if not answer or answer.flags & RST:
            raise CannotRun("a flow did not open")
        self.seq, self.ack = self.seq + 1, answer.seq + 1

    async def request(self):
        """Returns "answered", "reset" or "unanswered"."""
        self.number += 1
        data = f"KEEP f{self.sport}-{self.number}".encode()
        outcome = "unanswered"
        for wait in (0.2, 0.4, 0.8):
            self.clients.send(self.sport, ACK, self.seq, self.ack, data)
            packet = await self.clients.take(self.queue, time.monotonic() + wait)
            if packet:
                outcome = "reset" if packet.flags & RST else "answered"
                self.ack = packet.seq + packet.len
                break
        self.seq += len(data)
        self.lab.record(f"client: flow {self.sport}, request {self.number}: {outcome}")
        return outcome
