"""Requests whose long prompts share a part that crashes servers; see claim.txt."""
import os
import random
import signal
import sys
import threading
import time

from rig import Record, Rig, Server, attempt_id, configuration, request, route

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
PARTS = int(os.environ.get("PARTS", "20"))
POSITION = int(os.environ.get("POSITION", "18"))  # of the part that crashes servers, from 1; the last part is the own one
HARMFUL = "ba5eba11"
CONTACT_S = 3.0
SECONDS = 40.0


def main():
    record = Record("record.txt")
    rig = Rig(record, controls=3, entries=3)
    lock, crashes, arrivals, outcomes = threading.Lock(), [], [], {}

    def handle(server, method, path, headers, body, connection):
        parts = [part.split(":")[0] for part in headers.get("prompt-prefix", "").split(",")]
        is_harmful = HARMFUL in parts[:-1]
        if is_harmful:
            with lock:
                arrivals.append(record.now())
            record.line(f"harmful request {headers['attempt-id']} reaches {server.name}")
        time.sleep(0.05)
        if is_harmful and TROUBLE:
            if server.crash(back_after=3.0):
                with lock:
                    crashes.append(record.now())
                record.line(f"{server.name} crashes, crash {len(crashes)}")
            return False
        head = {
            "Attempt-Id": headers["attempt-id"], "Response-Seal": "s.1", "Content-Type": "text/event-stream",
            "Transfer-Encoding": "chunked",
        }
        lines = ["HTTP/1.1 200 OK"] + [f"{name}: {value}" for name, value in head.items()]
        connection.sendall(("\r\n".join(lines) + "\r\n\r\n").encode())
        for number in range(1, 9):
            event = f"id: {number}\ndata: {'x' * 40}\n\n".encode()
            connection.sendall(f"{len(event):x}\r\n".encode() + event + b"\r\n")
            time.sleep(0.04)
        connection.sendall(b"0\r\n\r\n")
        return True

    servers = [Server(rig, f"i-{i:04x}", "draft-llm", f"{rig.net}.{100 + i}", 12, handle) for i in range(8)]
    try:
        rig.start()
        for server in servers:
            server.open()
        routes = [route("draft", "draft-llm", "streaming", stream_resume=True, session_affinity=True, gap_target_ms=120)]
        document = configuration(1, routes, {"draft-llm": {}}, {"team-a": ["key-a"], "team-b": ["key-b"]})
        if rig.put(document) != 200 or not rig.wait_ready():
            record.line("the deployment did not become ready")
            return 2
        time.sleep(4)

        def prompt(harmful):
            # The turns of a conversation: a shared beginning, turns of its own, and the request's own part.
            parts = ["5c1e07a2"] + [f"{random.getrandbits(32):08x}" for _ in range(PARTS - 1)]
            if harmful:
                parts[POSITION - 1] = HARMFUL
            return ",".join(f"{part}:40" for part in parts)

        def ask(kind):
            entry = random.choice(rig.entries)
            headers = {
                "Host": "host.example", "Attempt-Id": attempt_id(), "Model": "m", "Token-Count": "800,40",
                "Prompt-Prefix": prompt(kind == "harmful"), "Deadline-Ms": "8000",
                "Api-Key": "key-a" if kind == "harmful" else random.choice(["key-a", "key-b"]),
            }
            body = os.urandom(16).hex().encode()
            status, _, data = request((entry.ip, rig.ports["front"]), "POST", "/draft/2f", headers, body)
            outcome = "whole" if status == 200 and data.count(b"id: ") == 8 else f"status {status}"
            if status == 200 and outcome != "whole":
                outcome = "cut off"
            record.line(f"{kind} request {headers['Attempt-Id']} at {entry.name}: {outcome}")
            with lock:
                outcomes[kind, outcome] = outcomes.get((kind, outcome), 0) + 1

        begun, threads = time.monotonic(), []
        next_at = {"sound": 0.0, "harmful": 5.0}
        every = {"sound": 0.1, "harmful": 0.5}
        while (elapsed := time.monotonic() - begun) < SECONDS:
            for kind, at in next_at.items():
                if elapsed >= at:
                    next_at[kind] = at + every[kind]
                    threads.append(threading.Thread(target=ask, args=(kind,), daemon=True))
                    threads[-1].start()
            time.sleep(0.01)
        for thread in threads:
            thread.join(12)
    finally:
        rig.close()
    for (kind, outcome), count in sorted(outcomes.items()):
        record.line(f"{kind} requests, {outcome}: {count}")
    record.line(f"servers crashed {len(crashes)} times")
    late = 0
    if len(crashes) >= 5:
        from_time = crashes[4] + CONTACT_S
        late = sum(at > from_time for at in arrivals)
        record.line(f"harmful requests that reached servers later than {CONTACT_S} s after the fifth crash: {late}")
    if not TROUBLE and outcomes.get(("sound", "whole"), 0) == 0:
        return 2
    verdict = "broken" if late > 3 else "held"
    record.line(f"BUDGET {verdict}: at most 3 are allowed")
    return 1 if late > 3 else 0


def stop(*_):
    """Ends the processes when the time limit of run.sh is over; its signal comes more than once."""
    signal.signal(signal.SIGTERM, signal.SIG_IGN)
    sys.exit(2)


if __name__ == "__main__":
    signal.signal(signal.SIGTERM, stop)
    sys.exit(main())
