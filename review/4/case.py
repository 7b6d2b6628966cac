"""The processes of the core are killed and come back; a server deregisters once all are in touch again."""

import os
import socket
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
from harness import BOUNDS, TROUBLE, Operator, call, configuration, finish, main, route
from standins import Server, sealed

WORK_S = 0.06
LINGER_S = 0.4  # The server serves a little longer than drain_ms.


def play(system, record):
    zones = ["tas-hobart", "tas-launceston", "tas-devonport"]
    cores = [system.add(f"core-{n + 1}", "control", zones[n % 3]) for n in range(5)]
    edges = [system.add(f"edge-{n + 1}", "entry", zones[n % 3]) for n in range(4)]
    system.start_all()
    time.sleep(5.0)
    operator = Operator(system, cores)
    routes = [route("r1", "/a/", "orders-app", "non_idempotent", 1000, 100)]
    if not operator.put(configuration(1, routes, ["orders-app"])):
        raise RuntimeError("version 1 was not acknowledged")
    leaves_at, sent, late, cut = [None], {}, [], []
    lock = threading.Lock()

    def run(server, channel, method, path, fields, body, echo):
        request = fields["attempt-id"]
        with lock:
            sent_at = sent[request]
            if server is servers[0] and leaves_at[0] and \
                    sent_at > leaves_at[0] + BOUNDS["drain_ms"] / 1000:
                late.append(request)
                record(f"server {server.ident} runs {request}, sent {sent_at - leaves_at[0]:.3f} s after its "
                       "leaving was acknowledged")
        time.sleep(WORK_S)
        if server.stopped.is_set():
            raise OSError("the server has exited")
        channel.sendall(sealed(fields, b"ok") + b"ok")

    servers = [Server(system, f"i-{n}", "orders-app", (system.address(100 + n), system.port), zones[n], cores, run)
               for n in range(3)]
    time.sleep(5.0)
    ends = time.monotonic() + 14.0

    def consume(edge, number):
        count = 0
        while time.monotonic() < ends:
            count += 1
            request = f"{number:x}a{count:x}"
            with lock:
                sent[request] = time.monotonic()
            try:
                status, _, _ = call((edge.ip, system.port), "POST", "/a/x", b"{}", {
                    "Host": "h.example", "Attempt-Id": request, "Deadline-Ms": "1000"}, timeout=1.5)
            except OSError as error:
                status = repr(error)
            with lock:
                if status != 200 and request in late:
                    cut.append(request)
                    record(f"consumer: {request} has run and gets {status}")
            time.sleep(0.04)

    for number in range(16):
        threading.Thread(target=consume, args=(edges[number % 4], number), daemon=True).start()
    if TROUBLE:
        for machine in cores:
            machine.kill()
        time.sleep(0.5)
        for machine in cores:
            machine.start(bootstrap=False)
    # From contact_ms after the last start on, all machines are in touch.
    time.sleep(BOUNDS["contact_ms"] / 1000 + 0.05)
    leaver = servers[0]
    leaver.beats = False
    for machine in cores:
        try:
            status, _, _ = call(machine.control_address(), "POST",
                                f"/eelgrassdyke/instances/{leaver.ident}/deregister")
        except OSError:
            continue
        if status == 200:
            break
    else:
        raise RuntimeError("no node confirmed the leaving")
    leaves_at[0] = time.monotonic()
    record(f"server {leaver.ident} has deregistered at {machine.name}")
    time.sleep(BOUNDS["drain_ms"] / 1000 + LINGER_S)
    leaver.exit()
    record(f"server {leaver.ident} has exited")
    time.sleep(3.0)
    with lock:
        finish(system, bool(late), f"{len(late)} requests that were sent later than drain_ms after the leaving was "
               f"acknowledged reached the server, {len(cut)} of them were not answered by it")


main(os.path.dirname(os.path.abspath(__file__)), play)
