"""A stand-in for a group of model servers that run each pass together, as the page on the protocol
describes them. It does not check fences: `require_fence` is false, unless `checks_fence` is set."""

import json
import random
import threading
import time

from standins import Server

SETS, EXPERTS, PLACES, SPARE, SLOTS = 3, 96, 11, 4, 12
STEP_S, COPY_S = 0.05, 0.4


class Rank:
    def __init__(self, number, ranks):
        first = number * PLACES
        self.number = number
        self.map = (0, [[(first + place) % EXPERTS for place in range(PLACES)] for _ in range(SETS)])
        self.had, self.prepared, self.copying = 0, None, None
        self.armed, self.held, self.sequence, self.fence = None, None, 0, 0
        self.counts = [0] * (SETS * EXPERTS)
        self.running = []


class Group:
    """`late(rank, order)` may choose to leave an order unanswered; the caller carries it out later with
    `carry_out`."""

    def __init__(self, system, size, checks_fence=False):
        self.system, self.size, self.checks_fence = system, size, checks_fence
        self.ranks = [Rank(number, size) for number in range(size)]
        self.lock = threading.RLock()
        self.step, self.changes, self.broken = 0, 0, None
        self.late = lambda rank, order: False
        self.before_go = lambda rank, order: None
        self.random = random.Random(7)
        self.stopped = False
        threading.Thread(target=self.run_passes, daemon=True).start()

    def server(self, number, ident, address, zone, control):
        rank = self.ranks[number]
        server = Server(self.system, ident, "drafting", address, zone, control,
                        lambda *words: self.stream(rank, *words),
                        lambda path, body: self.answer(rank, path, body), SLOTS)
        rank.born = server.born
        return server

    def answer(self, rank, path, body):
        with self.lock:
            if path == "/eelgrassdyke/report":
                return 200, json.dumps({
                    "phase": "both", "models": [{"name": "m", "version": 1, "adapters": []}],
                    "busy": rank.copying is not None, "sequence": rank.sequence, "waiting": 0,
                    "running": len(rank.running), "kv_used": 0, "kv_total": 280000, "handles": 0,
                    "group": {"name": "g0", "epoch": 1, "rank": rank.number, "state": "open"},
                    "size": self.size, "step": self.step, "expert_placement": rank.map[0],
                    "prepared": rank.prepared and rank.prepared[0],
                    "armed": rank.armed and {"version": rank.armed[0], "step": rank.armed[1]},
                    "held": rank.held, "pace": 1.0, "born": rank.born}).encode()
            if path.startswith("/eelgrassdyke/picked"):
                if "lists" in path:
                    return 200, json.dumps({
                        "step": self.step, "epoch": 1, "expert_placement": {
                            "version": rank.map[0], "experts": rank.map[1]}}).encode()
                return 200, json.dumps(
                    {"step": self.step, "epoch": 1, "counts": rank.counts}).encode()
        order = json.loads(body)
        if order["op"] == "go":
            self.before_go(rank, order)
        with self.lock:
            if self.late(rank, order):
                self.system.record(f"rank {rank.number}: {describe(order)}: no answer, carried out later")
                return None
            return self.carry_out(rank, order), b""

    def carry_out(self, rank, order, late=""):
        with self.lock:
            status = self.try_order(rank, order)
            self.system.record(f"rank {rank.number}: {describe(order)}: {status}{late}")
            return status

    def try_order(self, rank, order):
        if order["epoch"] != 1:
            return 409
        if self.checks_fence and order["fencing_token"] < rank.fence:
            return 412
        rank.fence = max(rank.fence, order["fencing_token"])
        version, step = order.get("version"), order.get("step")
        if order["op"] == "prepare":
            if rank.prepared and rank.prepared[0] == version or rank.copying == version:
                return 200
            lists = [ranks[rank.number] for ranks in order["expert_placement"]]
            new = [len(set(lists[n]) - set(rank.map[1][n])) for n in range(SETS)]
            if version <= rank.had or rank.armed or max(new) > SPARE:
                return 409
            rank.had, rank.prepared, rank.copying = version, None, version
            threading.Timer(COPY_S * sum(new), self.copied, (rank, version, lists)).start()
        elif order["op"] == "arm":
            if rank.armed == (version, step):
                return 200
            if not rank.prepared or rank.prepared[0] != version or step <= self.step:
                return 409
            rank.armed = (version, step)
        elif order["op"] == "disarm":
            if not rank.armed or rank.armed[0] != version:
                return 409 if rank.map[0] == version else 200
            rank.armed = None
        elif order["op"] == "hold":
            if rank.held == step:
                return 200
            if step <= self.step or rank.held is not None:
                return 409
            rank.held = step
        elif order["op"] == "go":
            if rank.held != step:
                return 409
            rank.held = None
        else:
            return 400
        rank.sequence += 1
        return 202

    def copied(self, rank, version, lists):
        with self.lock:
            if rank.copying == version:
                rank.prepared, rank.copying = (version, lists), None

    def run_passes(self):
        while not self.stopped:
            time.sleep(STEP_S)
            with self.lock:
                busy = any(rank.running for rank in self.ranks)
                if busy and all(rank.held != self.step + 1 for rank in self.ranks):
                    self.run_pass()

    def run_pass(self):
        self.step += 1
        for rank in self.ranks:
            if rank.armed and rank.armed[1] == self.step:
                rank.map, rank.prepared, rank.armed = rank.prepared, None, None
                self.changes += rank.number == 0
        versions = [rank.map[0] for rank in self.ranks]
        if len(set(versions)) > 1 and self.broken is None:
            self.broken = f"pass {self.step} begins with the maps {versions}"
            self.system.record("BROKEN: " + self.broken)
        for rank in self.ranks:
            for _ in range(len(rank.running) * 8):
                for layer in range(SETS):
                    hot = self.random.random() < 0.7
                    expert = self.random.randrange(PLACES if hot else EXPERTS)
                    rank.counts[layer * EXPERTS + expert] += 1
            for request in list(rank.running):
                request.give_event()

    def stream(self, rank, server, channel, method, path, fields, body, echo):
        request = Request(channel, fields)
        with self.lock:
            if len(rank.running) >= SLOTS:
                channel.sendall(f"HTTP/1.1 503 Full\r\n{echo}Not-Executed: 1\r\n"
                                "Content-Length: 0\r\n\r\n".encode())
                return
            rank.running.append(request)
        request.ended.wait()
        with self.lock:
            rank.running.remove(request)
        if request.is_broken:
            raise OSError("the channel has been closed")


class Request:
    """A stream of 28 events, one a pass."""

    def __init__(self, channel, fields):
        self.channel, self.echo = channel, fields["attempt-id"]
        self.next_id = int(fields.get("last-event-id", 0)) + 1
        self.is_started = self.is_broken = False
        self.ended = threading.Event()

    def give_event(self):
        if self.ended.is_set():
            return
        try:
            if not self.is_started:
                self.is_started = True
                self.channel.sendall(
                    f"HTTP/1.1 200 OK\r\nAttempt-Id: {self.echo}\r\nResponse-Seal: s.{self.echo}\r\n"
                    "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n".encode())
            event = b"id: %d\ndata: token\n\n" % self.next_id
            self.channel.sendall(b"%x\r\n%s\r\n" % (len(event), event))
            if self.next_id >= 28:
                self.channel.sendall(b"0\r\n\r\n")
                self.ended.set()
            self.next_id += 1
        except OSError:
            self.is_broken = True
            self.ended.set()


def describe(order):
    words = [f"{name} {order[name]}" for name in ("version", "step", "fencing_token") if name in order]
    return f"{order['op']} {', '.join(words)}"
