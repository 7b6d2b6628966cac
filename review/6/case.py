"""Two disks are lost right after a change, while a machine whose successor runs has just been removed."""

import os
import sys

import asyncio
import json
import shutil
import signal

from scene import BOUNDS, CONTROL, ZONES, Process, Scene, call, configuration, play, route, service, verdict

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
SEED = int(os.environ.get("SEED", "1"))

# "remove" or "wipe" plays only one of the two losses.
ONLY = os.environ.get("ONLY", "")

CATCH_UP_S = BOUNDS["catch_up_s"]
RECOVERY_S = BOUNDS["recovery_s"]
CONTACT_S = BOUNDS["contact_ms"] / 1000
DOWN_S = 1.0
# The operator reads for at least contact_ms; the script gives it more time.
READS_S = 15.0


async def followers(scene):
    """The control processes that redirect a change to the leader."""
    found = []
    for process in scene.controls:
        answer = await call(process.ip, CONTROL, "POST", "/eelgrassdyke/configuration/put", {},
                            json.dumps(scene.document).encode(), 1.0)
        if answer.status == 307:
            found.append(process)
    return found


async def case():
    record = os.path.join(os.path.dirname(os.path.abspath(__file__)), "record.txt")
    scene = Scene(record, controls=5, entries=0, seed=SEED)
    old = None
    try:
        scene.document = configuration(7, [route("charge", "/charge/", "non_idempotent", "orders", 1000, 100)],
                                       [service("orders", connections=100)])
        await scene.start_all(scene.document)
        await asyncio.sleep(CATCH_UP_S + 1.0)
        successor = Process(scene, "control", "control-5", scene.address(), ZONES[0], {})
        successor.bootstrap = False
        scene.controls.append(successor)
        successor.start()
        await asyncio.sleep(CATCH_UP_S + 1.0)
        old = scene.rng.choice([process for process in await followers(scene) if process is not successor])
        if TROUBLE and ONLY != "wipe":
            old.signal(signal.SIGKILL)
            old.child.wait()
            scene.controls.remove(old)
            scene.note(f"{old.name} is removed for good")
        scene.document["version"] = 8
        await scene.publish(scene.document, 5)
        if TROUBLE and ONLY != "remove":
            lost = scene.rng.sample([process for process in scene.controls if process not in (old, successor)], 2)
            for process in lost:
                process.signal(signal.SIGKILL)
            for process in lost:
                process.child.wait()
                shutil.rmtree(os.path.join(process.folder, "data"))
                scene.note(f"{process.name} has lost its disk")
            await asyncio.sleep(DOWN_S)
            for process in lost:
                process.start()
        back = scene.now()
        statuses, found = {}, None
        while scene.now() < back + RECOVERY_S + READS_S and found is None:
            for process in list(scene.controls):
                status, body = await scene.operate("GET", "/eelgrassdyke/configuration/get", to=process.ip)
                scene.note(f"read at {process.name}: {status}")
                if scene.now() > back + RECOVERY_S:
                    statuses[status] = statuses.get(status, 0) + 1
                if status == 200:
                    found = json.loads(body)["version"]
            await asyncio.sleep(0.3)
        broken = found != 8
        seen = f"read version {found} {scene.now() - back:.1f} s after all were back"
        return verdict(scene, broken, f"LOST: version 8 was acknowledged; " +
                       (f"{sum(statuses.values())} reads later than recovery_s, none of it: {statuses}" if broken else seen))
    finally:
        if old is not None:
            old.end()
        await scene.close()


if __name__ == "__main__":
    sys.exit(play(case))
