"""A heartbeat of another writer names a service that no configuration has."""

import asyncio
import json
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
from lab2 import BROKEN, HELD, NOT_RUN, TROUBLE, Client, Target, configuration, http, run

LISTINGS = ("127.198.0.1", 8080)
ROUTES = {LISTINGS: "listings"}
FLOWS = 5
CONNECTIVITY_WINDOW_SECONDS = 4


async def main(site):
    record = site.record
    for number in (11, 12, 13):
        site.start("control", number, bootstrap=True)
    site.start("agent", 31)
    site.start("balancer", 21)
    loop = asyncio.get_running_loop()
    if not await loop.run_in_executor(None, site.configure, configuration(3, ROUTES), (11, 12, 13)):
        return NOT_RUN
    target = Target(site, "i-first", "listings", 31, work_seconds=0.5)
    await target.start()
    client = await Client(site, 51, 21).start()
    await asyncio.sleep(CONNECTIVITY_WINDOW_SECONDS + 2)

    async def one(number):
        flow = await client.open(LISTINGS)
        if not flow:
            record.write("client: flow", number, "did not open")
            return None
        answer = await flow.request(f"POST /bid-{number}", 2.0)
        words = f"reset with sum {flow.reset.sum}" if flow.reset else answer or "no answer"
        record.write("client: flow", number, "->", words)
        if not flow.reset:
            flow.close()
        return flow

    tasks = [asyncio.create_task(one(number)) for number in range(FLOWS)]
    await asyncio.sleep(0.25)
    if TROUBLE:
        body = json.dumps({"service": "no-such-service", "address": f"{target.app[0]}:{target.app[1]}",
                           "zone": "coban", "version": "v1", "slots": 7, "state": "ready", "coldRemainingMs": 0,
                           "sequence": 1, "born": int(time.time() * 1000)})
        status = await http("PUT", target.heartbeat_address, "/api/instances/i-other", body, 1.0)
        record.write("another writer: heartbeat of i-other of no-such-service ->", status)
    flows = await asyncio.gather(*tasks)
    if None in flows:
        return NOT_RUN
    resets = sum(1 for flow in flows if flow.reset and flow.reset.sum == 0)
    record.write("flows open at the target:", FLOWS, "requests that it ran:", len(target.ran),
                 "resets that the system sent:", resets)
    return BROKEN if resets else HELD


run(main, os.path.dirname(os.path.abspath(__file__)))
