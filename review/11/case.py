import asyncio
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))
import lab3

ZONES = ["zone-a", "zone-b", "zone-c", "zone-d", "zone-e"]
BOUNDS = {"reuseAfterS": 2, "maxFlowS": 60}
DOWN_SECONDS = float(os.environ.get("DOWN", "13"))
RECOVERY_SECONDS = 15  # recoveryS
WINDOW_SECONDS = 5  # connectivityWindowMs


def make(folder):
    return lab3.Lab(folder, ZONES, BOUNDS)


async def run(lab):
    nodes = await lab3.control_site(lab, 5, ZONES)
    operator = lab3.Operator(lab, nodes)

    def version(number):
        return lab3.configuration(number, {"svc": {}}, [(8080, "svc", "safe")], idleTimeoutMs=15000 + number)

    if not await operator.order("PUT", "/api/configuration", version(1), what="version 1"):
        raise lab3.CannotRun("version 1 was not acknowledged")
    await asyncio.sleep(8)  # new machines count as lost for catchUpS, 6 s, after their start
    if not await operator.order("PUT", "/api/configuration", version(2), what="version 2"):
        raise lab3.CannotRun("version 2 was not acknowledged")
    a, b, c, d, e = nodes
    if lab3.TROUBLE:
        d.kill()
        e.kill()
    await asyncio.sleep(DOWN_SECONDS)
    if not await lab3.Operator(lab, [a, b, c]).order("PUT", "/api/configuration", version(3), what="version 3"):
        raise lab3.CannotRun("version 3 was not acknowledged")
    if lab3.TROUBLE:
        a.kill(wipe=True)
        b.kill(wipe=True)
        await asyncio.sleep(0.5)
        for node in (a, b, d, e):
            node.start()
    lab.record("all machines are back")
    end = time.monotonic() + RECOVERY_SECONDS
    while time.monotonic() < end:
        await asyncio.sleep(1)
    # Read back at every node for at least connectivityWindowMs, twice that to be fair.
    found = []
    end = time.monotonic() + 2 * WINDOW_SECONDS
    while time.monotonic() < end:
        for node in nodes:
            found.append(await operator.read(node))
        await asyncio.sleep(0.5)
    answers = [one for one in found if one is not None]
    if not answers:
        acked = await operator.order("PUT", "/api/configuration", version(4), seconds=8, what="version 4")
        return (f"version 3 was acknowledged, and none of {len(found)} reads returned a configuration, {RECOVERY_SECONDS} s"
                f" and more after all were back; version 4 is {'acknowledged' if acked else 'not acknowledged either'}")
    return f"version {min(answers)} was read, 3 was acknowledged" if min(answers) < 3 else None


if __name__ == "__main__":
    lab3.main(HERE, sys.modules[__name__])
