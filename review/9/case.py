"""A valid configuration gives a route a latency target of 0."""

import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "6"))

import asyncio

from scene import (FRONT, ZONES, Scene, Server, attempt_id, call, configuration, is_ready, play, request_headers,
                   route, sealed, service, verdict)

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
SEED = int(os.environ.get("SEED", "1"))

TIMEOUT_S = 1.0
GRACE_S = 0.5
CONTACT_S = 3.0
CONFIG_APPLY_S = 2.0
# Requests a second to each of the two routes.
RATE = 10.0
LENGTH_S = 25.0


class App(Server):
    async def handle(self, request, reader, writer):
        self.ran(request)
        await asyncio.sleep(0.015)
        writer.write(sealed(request, b"x" * 800))
        await writer.drain()
        return True


class Consumers:
    """Sends requests to both routes at all entries."""

    def __init__(self, scene):
        self.scene = scene
        # Time of sending, route, and time to the answer or none.
        self.results = []

    async def send(self, entry, path):
        attempt, started = attempt_id(self.scene), self.scene.now()
        self.scene.note(f"request {attempt} {path} to {entry.name}")
        try:
            answer = await call(entry.ip, FRONT, "GET", path, request_headers(attempt, 4000), b"", 2.0)
            self.results.append((started, path, self.scene.now() - started))
            self.scene.note(f"answer to {attempt}: {answer.status}")
        except (OSError, asyncio.TimeoutError, EOFError) as error:
            self.results.append((started, path, None))
            self.scene.note(f"answer to {attempt}: none ({type(error).__name__})")

    async def traffic(self, path):
        number = 0
        while True:
            number += 1
            self.scene.spawn(self.send(self.scene.entries[number % len(self.scene.entries)], path))
            await asyncio.sleep(1.0 / RATE)

    def unanswered(self, start, end):
        """Requests that were unanswered at their route's timeout, and those of them still unanswered later."""
        times = [time for sent, _, time in self.results if start <= sent <= end]
        late = [time for time in times if time is None or time >= TIMEOUT_S]
        later = [time for time in late if time is None or time >= TIMEOUT_S + GRACE_S]
        return len(times), len(late), len(later)


async def case():
    record = os.path.join(os.path.dirname(os.path.abspath(__file__)), "record.txt")
    scene = Scene(record, controls=3, entries=2, seed=SEED)
    try:
        routes = [route("stock", "/stock/", "idempotent", "orders", 1000, 100),
                  route("charge", "/charge/", "non_idempotent", "orders", 1000, 100, attempts=1)]
        document = configuration(7, routes, [service("orders", connections=100)])
        servers = [App(scene, "orders", ZONES[n], slots=6) for n in range(3)]
        await scene.start_all(document)
        for server in servers:
            await server.start()
        await asyncio.sleep(2.0)
        consumers = Consumers(scene)
        for path in ("/stock/1", "/charge/1"):
            scene.spawn(consumers.traffic(path))
        await asyncio.sleep(5.0)
        document["version"] = 8
        document["routes"][0]["timeout_ms"] = 1000
        document["routes"][0]["target_latency_ms"] = 0 if TROUBLE else 120
        await scene.publish(document)
        changed = scene.now()
        start = changed + max(CONTACT_S, CONFIG_APPLY_S)
        while scene.now() < LENGTH_S:
            await asyncio.sleep(1.0)
            ready = [await is_ready(entry) for entry in scene.entries]
            scene.note(f"ready: {ready}")
        before = consumers.unanswered(0, changed - 2.5)
        after = consumers.unanswered(start, scene.now() - 2.5)
        scene.note(f"before and after the change: requests, unanswered at the timeout, half a second later: "
                   f"{before}, {after}")
        if before[0] < 20 or before[1] > 2:
            print("could not run: requests were not answered before the change")
            return 2
        broken = after[1] >= 8 and after[2] > after[1] / 2
        return verdict(scene, broken, f"CONFIG: of {after[0]} requests after the change {after[1]} were unanswered at "
                                      f"their route's timeout and {after[2]} half a second later; ready: {ready}")
    finally:
        await scene.close()


if __name__ == "__main__":
    sys.exit(play(case))
