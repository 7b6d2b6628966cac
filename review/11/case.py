"""A server whose response has a valid head and then bytes that are no events, without end; see claim.txt."""
import os
import random
import signal
import sys
import threading
import time

from rig import Record, Rig, Server, answer, attempt_id, configuration, request, route

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
BYTES = os.environ.get("BYTES", "random")
LOOKUP_TIMEOUT_S = 1.0
SLACK_S = 0.5
SECONDS = 40.0


def main():
    record = Record("record.txt")
    rig = Rig(record, controls=3, entries=3)
    lock, outcomes, lookups, unready = threading.Lock(), {}, [], []
    block = {"random": os.urandom(1 << 18), "lines": b"\n" * (1 << 18), "comments": b":\n\n" * (1 << 16)}[BYTES]

    def draft(server, method, path, headers, body, connection):
        head = {
            "Attempt-Id": headers["attempt-id"], "Response-Seal": "s.1", "Content-Type": "text/event-stream",
            "Transfer-Encoding": "chunked",
        }
        lines = ["HTTP/1.1 200 OK"] + [f"{name}: {value}" for name, value in head.items()]
        time.sleep(0.05)
        connection.sendall(("\r\n".join(lines) + "\r\n\r\n").encode())
        if server is servers[0] and TROUBLE:
            record.line(f"{server.name} answers {headers['attempt-id']} with bytes that are no events")
            sent = 0
            try:
                while True:
                    connection.sendall(f"{len(block):x}\r\n".encode() + block + b"\r\n")
                    sent += len(block)
            finally:
                record.line(f"the caller of {headers['attempt-id']} closed after {sent >> 20} MB")
        for number in range(1, 9):
            event = f"id: {number}\ndata: {'x' * 40}\n\n".encode()
            connection.sendall(f"{len(event):x}\r\n".encode() + event + b"\r\n")
            time.sleep(0.04)
        connection.sendall(b"0\r\n\r\n")
        return True

    def lookup(server, method, path, headers, body, connection):
        time.sleep(0.015)
        answer(connection, 200, {"Attempt-Id": headers["attempt-id"], "Response-Seal": "s.2"}, b"x" * 800)
        return True

    servers = [Server(rig, f"i-{i:04x}", "draft-llm", f"{rig.net}.{100 + i}", 12, draft) for i in range(4)]
    servers += [Server(rig, f"i-{i:04x}", "orders-app", f"{rig.net}.{100 + i}", 6, lookup) for i in range(4, 7)]
    try:
        rig.start()
        for server in servers:
            server.open()
        routes = [
            route("draft", "draft-llm", "streaming", stream_resume=True, session_affinity=True, gap_target_ms=120),
            route("stock", "orders-app", "idempotent", timeout_ms=int(LOOKUP_TIMEOUT_S * 1000), target_latency_ms=100),
        ]
        document = configuration(1, routes, {"draft-llm": {}, "orders-app": {}}, {"team-a": ["key-a"]})
        if rig.put(document) != 200 or not rig.wait_ready():
            record.line("the deployment did not become ready")
            return 2
        time.sleep(4)

        def ask_stream(entry):
            headers = {
                "Host": "host.example", "Attempt-Id": attempt_id(), "Model": "m", "Token-Count": "714,40",
                "Prompt-Prefix": f"5c1e07a2:40,{random.getrandbits(32):08x}:674", "Deadline-Ms": "8000",
                "Api-Key": "key-a",
            }
            status, _, data = request((entry.ip, rig.ports["front"]), "POST", "/draft/2f", headers, b"x" * 700, 9.0)
            outcome = "whole" if status == 200 and data.count(b"id: ") == 8 else f"not whole ({status})"
            with lock:
                outcomes["stream", outcome] = outcomes.get(("stream", outcome), 0) + 1

        def ask_lookup(entry):
            begun = time.monotonic()
            headers = {"Host": "host.example", "Attempt-Id": attempt_id(), "Deadline-Ms": "8000", "Api-Key": "key-a"}
            status, _, _ = request((entry.ip, rig.ports["front"]), "GET", f"/stock/{random.random()}", headers, b"", 9.0)
            taken = time.monotonic() - begun
            if taken > LOOKUP_TIMEOUT_S:
                record.line(f"lookup {headers['Attempt-Id']} at {entry.name}: status {status} after {taken:.3f} s")
            with lock:
                lookups.append(taken)
                outcomes["lookup", status] = outcomes.get(("lookup", status), 0) + 1

        def probe(entry):
            begun = time.monotonic()
            ready = rig.is_ready(entry)
            if not ready:
                with lock:
                    unready.append(entry.name)
                record.line(f"readiness of {entry.name}: no 200 after {time.monotonic() - begun:.3f} s")

        begun, threads = time.monotonic(), []
        next_at = {ask_stream: 0.0, ask_lookup: 0.0, probe: 0.0}
        every = {ask_stream: 0.1, ask_lookup: 0.1, probe: 1.0}
        while (elapsed := time.monotonic() - begun) < SECONDS:
            for task, at in next_at.items():
                if elapsed >= at:
                    next_at[task] = at + every[task]
                    entries = rig.entries if task is probe else [random.choice(rig.entries)]
                    for entry in entries:
                        threads.append(threading.Thread(target=task, args=(entry,), daemon=True))
                        threads[-1].start()
            time.sleep(0.01)
        for thread in threads:
            thread.join(10)
    finally:
        rig.close()
    for (kind, outcome), count in sorted(outcomes.items(), key=str):
        record.line(f"{kind}s, {outcome}: {count}")
    record.line(f"readiness probes without a 200: {len(unready)}")
    open_at_timeout = [taken for taken in lookups if taken > LOOKUP_TIMEOUT_S]
    late = [taken for taken in open_at_timeout if taken > LOOKUP_TIMEOUT_S + SLACK_S]
    record.line(
        f"lookups unanswered at their route's timeout: {len(open_at_timeout)}; half a second later: {len(late)}; "
        f"the longest took {max(lookups, default=0):.3f} s"
    )
    if not any(kind == "lookup" and status == 200 for kind, status in outcomes):
        return 2
    broken = len(late) >= 8 and 2 * len(late) > len(open_at_timeout)
    record.line(f"CONFIG {'broken' if broken else 'held'}")
    return 1 if broken else 0


def stop(*_):
    """Ends the processes when the time limit of run.sh is over; its signal comes more than once."""
    signal.signal(signal.SIGTERM, signal.SIG_IGN)
    sys.exit(2)


if __name__ == "__main__":
    signal.signal(signal.SIGTERM, stop)
    sys.exit(main())
