"""The processes of the core are killed during a switch of maps; one order to arm is carried out late."""

import os
import signal
import socket
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
from group import EXPERTS, PLACES, SETS, SLOTS, SPARE, Group, describe
from harness import TROUBLE, Operator, configuration, finish, main, route

SIZE = 12
LATE_MIN_S, LATE_MAX_S = 2.0, 12.0
LATE_RANK = 3
# FENCE=1: servers refuse orders with a lower fence, as where `require_fence` applies; it must pass.
FENCE = os.environ.get("FENCE") == "1"

ENGINE = {
    "slots": SLOTS, "kv_capacity_tokens": 280000, "kv_token_bytes": 35136, "link_mbps": 44000.0, "stride": 4,
    "models": [{"name": "m"}], "step_ms": 4.55, "per_seq_ms": 0.905, "context_per_k": 0.0183,
    "read_per_s": 61400.0, "pairs_per_m": 0.525, "chunk": 512, "report_lag_ms": 200.0, "loads_per_s": 0.0,
    "loads_at_once": 8, "delays": [], "usual": {"prompt": 835, "answer": 96}, "sets": SETS,
    "experts": EXPERTS, "placements": PLACES, "spare": SPARE, "expert_mb": 2200.0, "expert_share": 0.85,
    "form_ms": 600.0,
}


def consume(address, number, ends):
    """Sends one stream after the other; leaves after a gap of two seconds."""
    count = 0
    while time.monotonic() < ends:
        count += 1
        try:
            with socket.create_connection(address, timeout=1.0) as channel:
                channel.settimeout(2.0)
                channel.sendall((f"POST /d/x HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: {number:x}a{count:x}\r\n"
                                 "Deadline-Ms: 8000\r\nModel: m\r\nToken-Count: 800,112\r\n"
                                 f"Prompt-Prefix: {number:x}{count:04x}:800\r\nContent-Length: 2\r\n\r\n{{}}")
                                .encode())
                answer = b""
                while not answer.endswith(b"0\r\n\r\n"):
                    part = channel.recv(65536)
                    if not part or answer.startswith(b"HTTP/1.1 5"):
                        break
                    answer += part
        except OSError:
            pass
        time.sleep(0.1)


def play(system, record):
    zones = ["mearns", "deeside", "moray"]
    cores = [system.add(f"core-{n + 1}", "control", zones[n % 3]) for n in range(5)]
    edges = [system.add(f"edge-{n + 1}", "entry", zones[n % 3]) for n in range(4)]
    group = Group(system, SIZE, FENCE)
    for number in range(SIZE):
        # The servers' addresses are on the side machines, whose watch processes read them.
        side = system.add(f"side-{number + 1}", "watch", zones[number % 3])
        address = (side.ip, system.port + 5)
        side.more.update(app=f"{side.ip}:{system.port + 5}", service="drafting")
        group.server(number, f"i-{number}", address, zones[number % 3], cores)
    system.start_all()
    time.sleep(6.0)
    operator = Operator(system, cores)
    first = configuration(1, [route("r1", "/d/", "drafting", "streaming", 8000, 500, stream_resume=True,
                                    session_affinity=True)], ["drafting"])
    first["services"][0]["engine"] = ENGINE
    if not operator.put(first):
        raise RuntimeError("version 1 was not acknowledged")
    time.sleep(4.0)

    ends = time.monotonic() + 40.0
    for number in range(40):
        edge = edges[number % 4]
        threading.Thread(target=consume, args=((edge.ip, system.port), number, ends), daemon=True).start()
    pending, killed = [], threading.Event()

    def late(rank, order):
        """Leaves one order to arm unanswered, of the second switch, as the first one shows that all works."""
        if not TROUBLE or pending or group.changes < 1 or rank.number != LATE_RANK or order["op"] != "arm":
            return False
        pending.append((time.monotonic(), rank, order))
        killed.set()
        return True

    def before_go(rank, order):
        """Carries the order out when a newer one arrives, if it is late enough by then."""
        if len(pending) != 1:
            return
        sent_at, late_rank, late_order = pending[0]
        age = time.monotonic() - sent_at
        if LATE_MIN_S <= age <= LATE_MAX_S:
            pending.append(None)
            group.carry_out(late_rank, late_order, f", {age:.1f} s late")

    group.late, group.before_go = late, before_go
    if TROUBLE:
        if not killed.wait(25.0):
            raise RuntimeError(f"no order to arm came after {group.changes} changes of map")
        for machine in cores:
            machine.kill()
        time.sleep(0.9)
        for machine in cores:
            machine.start(bootstrap=False)
    while time.monotonic() < ends and group.broken is None:
        time.sleep(0.2)
    group.stopped = True
    if group.changes < 1:
        raise RuntimeError("the map never changed, so the case shows nothing")
    finish(system, group.broken is not None, group.broken or f"{group.changes} changes of map, all ranks alike")


main(os.path.dirname(os.path.abspath(__file__)), play)
