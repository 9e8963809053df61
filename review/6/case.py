"""A core machine is replaced as planned; then another core machine loses its disk."""

import json
import os
import signal
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
from lab2 import BROKEN, HELD, NOT_RUN, TROUBLE, configuration, run

CATCH_UP_SECONDS = 4  # catchUpS of the site agrct-hook
RECOVERY_SECONDS = 12  # recoveryS
READ_SECONDS = 30  # after RECOVERY_SECONDS; connectivityWindowMs is 4 s
ROUTE = {("127.198.0.1", 8080): "listings"}
FIRST, OTHER, THIRD, SUCCESSOR = 11, 12, 13, 14


def main(site):
    record = site.record
    for number in (FIRST, OTHER, THIRD):
        site.start("control", number, bootstrap=True)
    if not site.configure(configuration(3, ROUTE), (FIRST, OTHER, THIRD)):
        return NOT_RUN
    time.sleep(2)
    site.start("control", SUCCESSOR)
    record.write("the successor", SUCCESSOR, "of", THIRD, "starts with an empty disk at a new address")
    end = time.monotonic() + 10
    while time.monotonic() < end and site.call("GET", SUCCESSOR, "/api/configuration")[0] != 200:
        time.sleep(0.1)
    record.write("the successor answers reads")
    time.sleep(CATCH_UP_SECONDS + 1)
    site.signal(f"control-{THIRD}", signal.SIGTERM)
    code = site.wait_end(f"control-{THIRD}", 6)
    record.write("node", THIRD, "got SIGTERM and ended with", code, "; it is removed for good")
    if code is None:
        return NOT_RUN
    time.sleep(CATCH_UP_SECONDS)
    acknowledged = configuration(8, ROUTE)
    node = site.configure(acknowledged, (OTHER, SUCCESSOR, FIRST))
    if not node:
        return NOT_RUN
    lost = OTHER if node == OTHER else FIRST
    if TROUBLE:
        site.signal(f"control-{lost}", signal.SIGKILL)
        site.wait_end(f"control-{lost}", 5)
        site.lose_disk(f"control-{lost}")
        record.write("node", lost, "loses power and its disk")
        time.sleep(1)
        site.start("control", lost)
        record.write("node", lost, "is back with an empty disk")
    time.sleep(RECOVERY_SECONDS)
    good = older = 0
    end = time.monotonic() + READ_SECONDS
    while time.monotonic() < end:
        for number in (FIRST, OTHER, SUCCESSOR):
            status, text = site.call("GET", number, "/api/configuration")
            version = json.loads(text).get("version") if status == 200 else None
            record.write("operator: GET at node", number, "->", status, "version", version)
            good += version == acknowledged["version"]
            older += version is not None and version != acknowledged["version"]
        time.sleep(1)
    acknowledgement = site.configure(configuration(11, ROUTE), (FIRST, OTHER, SUCCESSOR), 5)
    record.write("reads of the acknowledged version:", good, "of another:", older, "new change acknowledged by:",
                 acknowledgement)
    return HELD if good and not older else BROKEN


run(main, os.path.dirname(os.path.abspath(__file__)))
