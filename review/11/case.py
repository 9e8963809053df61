"""A machine of the core is gone without SIGTERM after its successor has joined; then another one loses its disk."""

import asyncio
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))
import lab3

ZONES = ["zone-a", "zone-b", "zone-c"]
BOUNDS = {"reuseAfterS": 2, "maxFlowS": 60}
CATCH_UP_SECONDS = 4.0  # catchUpS
GRACE_SECONDS = 6.0  # graceS
RECOVERY_SECONDS = 12.0  # recoveryS
WINDOW_SECONDS = 4.0  # connectivityWindowMs
GAP_SECONDS = float(os.environ.get("GAP", "1.0"))  # between the machine that is gone and the lost disk
GONE = int(os.environ.get("GONE", "0"))  # which of the first three
PLANNED = os.environ.get("PLANNED") == "1"  # with SIGTERM first


def make(folder):
    return lab3.Lab(folder, ZONES, BOUNDS)


async def run(lab):
    nodes = await lab3.start_control(lab, 3, ZONES)
    operator = lab3.Operator(lab, nodes)

    def version(number):
        return lab3.configuration(number, {"svc": {}}, [(8080, "svc", "safe")], idleTimeoutMs=15000 + number)

    if not await operator.order("PUT", "/api/configuration", version(1), what="version 1"):
        raise lab3.CannotRun("version 1 was not acknowledged")
    await asyncio.sleep(CATCH_UP_SECONDS + 1)
    new = lab.add("control-4", "control", ZONES[0])
    new.start()
    await asyncio.sleep(CATCH_UP_SECONDS + 1)
    gone = nodes.pop(GONE)
    nodes.append(new)
    if lab3.TROUBLE and PLANNED:
        await gone.stop(GRACE_SECONDS)
    if lab3.TROUBLE:
        gone.kill(wipe=True)
    await asyncio.sleep(0.2)
    if not await operator.order("PUT", "/api/configuration", version(2), what="version 2"):
        raise lab3.CannotRun("version 2 was not acknowledged")
    await asyncio.sleep(GAP_SECONDS)
    if lab3.TROUBLE:
        lost = nodes[0]
        lost.kill(wipe=True)
        await asyncio.sleep(0.5)
        lost.start()
    lab.record("all machines that are left run")
    await asyncio.sleep(RECOVERY_SECONDS)
    found = []
    end = time.monotonic() + 2 * WINDOW_SECONDS
    while time.monotonic() < end:
        for node in nodes:
            found.append(await operator.read(node))
        await asyncio.sleep(0.5)
    answers = [one for one in found if one is not None]
    if not answers:
        acked = await operator.order("PUT", "/api/configuration", version(3), seconds=8, what="version 3")
        return (f"version 2 was acknowledged, and none of {len(found)} reads returned a configuration, {RECOVERY_SECONDS:g} s"
                f" and more after all were back; version 3 is {'acknowledged' if acked else 'not acknowledged either'}")
    return f"version {min(answers)} was read, 2 was acknowledged" if min(answers) < 2 else None


if __name__ == "__main__":
    lab3.main(HERE, sys.modules[__name__])
