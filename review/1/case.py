"""A core machine is replaced as planned; then two disks are lost while the successor waits."""

import os
import signal
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
from harness import BOUNDS, TROUBLE, Operator, configuration, finish, main, route


# ONLY=replace leaves the disks alone, ONLY=wipe the machine; both must pass.
REPLACES = TROUBLE and os.environ.get("ONLY") != "wipe"
WIPES = TROUBLE and os.environ.get("ONLY") != "replace"


def play(system, record):
    zones = ["tas-hobart", "tas-hobart", "tas-launceston", "tas-launceston", "tas-devonport"]
    cores = [system.add(f"core-{n + 1}", "control", zone) for n, zone in enumerate(zones)]
    system.start_all()
    time.sleep(10.0)
    operator = Operator(system, cores)
    services = ["orders-app"]
    first = configuration(1, [route("r1", "/a/", "orders-app")], services)
    if not operator.put(first):
        raise RuntimeError("version 1 was not acknowledged")

    # The successor starts first and has more than catch_up_s, then the old machine leaves for good.
    successor = system.add("core-6", "control", "tas-hobart")
    removed = cores[1]
    live = list(cores)
    if REPLACES:
        successor.start(bootstrap=False)
        live.append(successor)
    time.sleep(BOUNDS["catch_up_s"] + 1.0)
    if REPLACES:
        removed.signal(signal.SIGTERM)
        removed.process.wait(timeout=BOUNDS["grace_s"])
        record(f"platform: {removed.name} has ended and is removed for good")
        live.remove(removed)
    time.sleep(3.0)

    operator.nodes = live
    second = configuration(2, first["routes"] + [route("r2", "/b/", "orders-app")], services)
    if not operator.put(second):
        raise RuntimeError("version 2 was not acknowledged")
    if WIPES:
        lost = [cores[2], cores[3]]
        for machine in lost:
            machine.kill()
            machine.wipe()
        time.sleep(1.0)
        for machine in lost:
            machine.start(bootstrap=False)

    # Reads count from recovery_s after all machines are back, for more than twice contact_ms.
    time.sleep(BOUNDS["recovery_s"])
    ends = time.monotonic() + 15.0
    versions = set()
    while time.monotonic() < ends:
        versions |= {operator.read(machine) for machine in live}
        if 2 in versions:
            finish(system, versions - {None, 2} != set(), f"reads gave versions {versions}")
        time.sleep(0.5)
    finish(system, True, "no node gave the acknowledged version 2 in the 15 s after recovery_s "
                         f"(reads gave {versions})")


main(os.path.dirname(os.path.abspath(__file__)), play)
