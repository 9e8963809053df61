"""Parts of the soak that put load on control instances: shares of the processor and route tables of thousands of
routes."""

import asyncio
import random
import signal
import threading
import time

PERIOD_SECONDS = 0.1
CONTROL_PART = 0.24  # of a core, as the smallest control instances of a deployment have
BALANCER_PART = 0.05
AGENT_PART = 0.15
ADDED_ROUTES = 1400
MAXIMUM_ROUTES = 8400
ACKNOWLEDGEMENT_SECONDS = 6.0  # for a valid configuration while no fault is under way
ACKNOWLEDGEMENT_SECONDS_PER_ROUTE = 0.003
CALM_SECONDS = 5.0  # after the last fault, from which on the limit holds


class ProcessorShare:
    """Lets processes run for a part of every period only, as a quota of processor time does."""

    def __init__(self, processes):
        self.ended = threading.Event()
        self.threads = [threading.Thread(target=self.alternate, args=(process, part), daemon=True)
                        for process, part in processes]

    def start(self):
        for thread in self.threads:
            thread.start()

    def stop(self):
        self.ended.set()
        for thread in self.threads:
            thread.join()

    def alternate(self, process, part):
        time.sleep(random.random() * PERIOD_SECONDS)
        while not self.ended.is_set():
            process.signal(signal.SIGSTOP)
            time.sleep((1 - part) * PERIOD_SECONDS)
            process.signal(signal.SIGCONT)
            time.sleep(part * PERIOD_SECONDS)


def part_of(name):
    role = name.split("-")[0]
    return {"control": CONTROL_PART, "balancer": BALANCER_PART, "agent": AGENT_PART}[role]


def extra_routes(count, service):
    """Entries of a configuration that no caller uses."""
    return [{"name": f"extra-{index * 2654435761 % 2**32:x}", "host": f"198.19.{index // 200}.{index % 200 + 1}",
             "pathPrefix": "/8080/", "kind": "safe", "timeoutMs": 2000, "latencyGoalMs": 300, "priority": 1,
             "service": service, "maxAttempts": 2} for index in range(count)]


def acknowledgement_limit(routes):
    return ACKNOWLEDGEMENT_SECONDS + ACKNOWLEDGEMENT_SECONDS_PER_ROUTE * routes


async def change_large_tables(site, end):
    """Orders tables that grow by thousands of routes and shrink again, each at instances in random order."""
    while time.monotonic() < end:
        if site.extra >= MAXIMUM_ROUTES:
            site.extra = site.rng.choice([0, ADDED_ROUTES])
        elif site.rng.random() < 0.6:
            site.extra += ADDED_ROUTES
        await site.change_routes()
        await asyncio.sleep(site.rng.choice([0.1, 0.3, 1.0]))
    site.extra = 200  # a small table right after a large one
    await site.change_routes()


async def read_everywhere(site, end):
    """Reads the configuration at every control instance in turn."""
    while time.monotonic() < end:
        for index in list(site.controls):
            await site.read_routes(index)
            await asyncio.sleep(0.05)
