"""Starts the programs of the deploy file on loopback addresses, with stand-ins for the platform, the
operator, servers and consumers. It uses only the Python standard library."""

import http.client
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

# The bounds of the deployment huon-refill, as its page and settings give them.
BOUNDS = {
    "contact_ms": 3000, "ack_ms": 4000, "catch_up_s": 4, "drain_ms": 2000, "grace_s": 8,
    "config_apply_ms": 2000, "recovery_s": 12, "retry_budget_ratio": 0.2, "budget_window_s": 10,
    "budget_slack": 90,
}


class Record:
    """Writes record.txt: what was sent, answered and run, with seconds since the start."""

    def __init__(self, case_dir):
        self.file = open(os.path.join(case_dir, "record.txt"), "w", encoding="utf-8")
        self.started = time.monotonic()
        self.lock = threading.Lock()

    def __call__(self, text):
        with self.lock:
            line = f"{time.monotonic() - self.started:8.3f}  {text}"
            self.file.write(line + "\n")
            self.file.flush()

    def now(self):
        return time.monotonic() - self.started


def render(template, fields):
    """Fills in a settings template as the page on deployment says (the parts that deploy/ uses)."""

    def lookup(path):
        value = fields
        for name in path.split("."):
            if isinstance(value, list):
                value = value[int(name)] if int(name) < len(value) else None
            else:
                value = value.get(name) if isinstance(value, dict) else None
            if value is None:
                return None
        return value

    def section(match):
        kind, path, body = match.groups()
        present = lookup(path) not in (None, False)
        return body if present == (kind == "#") else ""

    text = re.sub(r"\{\{([#^])([a-z_.0-9]+)\}\}(.*?)\{\{/\2\}\}", section, template, flags=re.S)

    def value(match):
        found = lookup(match.group(1))
        if match.group(2):
            return json.dumps(found)
        if found is None:
            return ""
        if isinstance(found, bool):
            return "true" if found else "false"
        return ",".join(map(str, found)) if isinstance(found, list) else str(found)

    return re.sub(r"\{\{([a-z_.0-9]+)(\|json)?\}\}", value, text)


class Machine:
    """A machine with one process of the system."""

    def __init__(self, system, name, role, ip, zone, more):
        self.system, self.name, self.role, self.ip, self.zone = system, name, role, ip, zone
        self.more = more
        self.folder = os.path.join(system.folder, name)
        self.data = os.path.join(self.folder, "data")
        os.makedirs(self.folder)
        self.process = None

    def start(self, bootstrap=False):
        system = self.system
        spec = system.deploy["roles"][self.role]
        fields = {
            "node": self.name, "ip": self.ip, "zone": self.zone, "region": "tas",
            "port_range": [system.port + 10, system.port + 25],
            "seeds": system.seeds, "bootstrap": bootstrap, "data_dir": self.data,
            "heartbeat_ms": 1200, "bounds": BOUNDS,
            "listen": {
                "front": f"{self.ip}:{system.port}",
                "readiness_address": f"{self.ip}:{system.port + 1}",
                "control": f"{self.ip}:{system.port + 2}",
            },
            **self.more,
        }
        with open(os.path.join(ROOT, spec["template"]), encoding="utf-8") as file:
            text = render(file.read(), fields)
        settings = os.path.join(self.folder, "boot.conf")
        with open(settings, "w", encoding="utf-8") as file:
            file.write(text)
        words = spec["run"].split()
        environment = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        environment["EELGRASSDYKE_CONFIG"] = settings
        with open(os.path.join(self.folder, "log"), "ab") as log:
            self.process = subprocess.Popen(
                [os.path.join(ROOT, words[0]), *words[1:]], cwd=ROOT, env=environment,
                stdin=subprocess.DEVNULL, stdout=log, stderr=log)
        system.record(f"platform: {self.name} starts ({self.role}, {self.ip}, bootstrap={bootstrap})")

    def signal(self, number):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)
            self.system.record(f"platform: {self.name} gets {signal.Signals(number).name}")

    def kill(self):
        self.signal(signal.SIGKILL)
        self.process.wait()

    def wipe(self):
        shutil.rmtree(self.data, ignore_errors=True)
        self.system.record(f"platform: {self.name} has lost its disk")

    def control_address(self):
        return (self.ip, self.system.port + 2)


class System:
    """The machines of a small deployment."""

    def __init__(self, record):
        self.record = record
        self.folder = tempfile.mkdtemp(prefix="review-")
        with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as file:
            self.deploy = tomllib.load(file)
        self.net = f"127.{random.randint(16, 250)}.{random.randint(1, 250)}"
        self.port = random.randint(20000, 30000)
        self.machines = {}
        self.seeds = []
        self.servers = []
        for attempt in range(50):
            try:
                with socket.socket() as probe:
                    probe.bind((f"{self.net}.1", self.port))
                break
            except OSError:
                self.port += 40

    def add(self, name, role, zone, **more):
        """Adds a machine; `more` holds further fields of its settings."""
        ip = f"{self.net}.{len(self.machines) + 1}"
        machine = Machine(self, name, role, ip, zone, more)
        self.machines[name] = machine
        return machine

    def address(self, number):
        """An address of the network, for a stand-in."""
        return f"{self.net}.{number}"

    def start_all(self):
        cores = [m for m in self.machines.values() if m.role == "control"]
        self.seeds = [f"{m.ip}:{self.port + 2}" for m in cores[:3]]
        for machine in self.machines.values():
            machine.start(bootstrap=machine.role == "control")

    def close(self):
        for server in self.servers:
            server.stop()
        for machine in self.machines.values():
            if machine.process is not None and machine.process.poll() is None:
                machine.process.send_signal(signal.SIGCONT)
                machine.process.kill()
                machine.process.wait()
        if os.environ.get("KEEP") != "1":
            shutil.rmtree(self.folder, ignore_errors=True)


def call(address, method, path, body=None, headers=None, timeout=1.0):
    """One call on a new connection; the status, the header fields and the body."""
    connection = http.client.HTTPConnection(*address, timeout=timeout)
    try:
        connection.request(method, path, body=body, headers=headers or {})
        response = connection.getresponse()
        return response.status, dict(response.getheaders()), response.read()
    finally:
        connection.close()


class Operator:
    """The operator: calls nodes that serve control, follows a 307 twice and moves on after a failure."""

    def __init__(self, system, nodes):
        self.system, self.nodes = system, nodes

    def once(self, machine, method, path, body=None):
        address, target = machine.control_address(), path
        for _ in range(3):
            headers = {"Content-Type": "application/json"} if body else {}
            try:
                status, fields, answer = call(address, method, target, body, headers)
            except (OSError, http.client.HTTPException) as error:
                return None, str(error).encode()
            fields = {name.lower(): value for name, value in fields.items()}
            if status != 307:
                return status, answer
            host, _, target = fields["location"].removeprefix("http://").partition("/")
            ip, port = host.split(":")
            address, target = (ip, int(port)), "/" + target
        return 307, b""

    def put(self, configuration, limit=20.0):
        """Sends a configuration until it is acknowledged; whether it was."""
        body = json.dumps(configuration)
        ends, pause = time.monotonic() + limit, 0.1
        while time.monotonic() < ends:
            for machine in self.nodes:
                status, answer = self.once(machine, "POST", "/eelgrassdyke/configuration/put", body)
                self.system.record(f"operator: put version {configuration['version']} at "
                                   f"{machine.name}: {status} {answer[:80]!r}")
                if status == 200:
                    return True
            time.sleep(pause)
            pause = min(pause * 2, 1.0)
        return False

    def read(self, machine):
        """Reads the configuration at a node; its version, or none."""
        status, answer = self.once(machine, "GET", "/eelgrassdyke/configuration/get")
        version = json.loads(answer)["version"] if status == 200 else None
        self.system.record(f"operator: read at {machine.name}: {status}, version {version}")
        return version


def configuration(version, routes, services, tenants=None):
    result = {
        "version": version, "routes": routes,
        "services": [{"name": name, "health_check_path": "/healthz", "max_connections": 100,
                      "protocol": "h1", "tls": False} for name in services],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000,
                   "idle_timeout_ms": 15000},
    }
    if tenants:
        result["tenants"] = tenants
    return result


def route(name, prefix, service, kind="idempotent", timeout_ms=8000, target_ms=100, **more):
    return {"name": name, "host": "h.example", "path_prefix": prefix, "route_type": kind,
            "timeout_ms": timeout_ms, "target_latency_ms": target_ms, "priority": 1,
            "service": service, "max_attempts": 2, "anonymous": True, "session_affinity": False,
            "stream_resume": False, "gap_target_ms": 120, **more}


def finish(system, broken, text):
    """Ends all processes and exits with 1 if the rule was broken, else with 0."""
    system.record(("BROKEN: " if broken else "HELD: ") + text)
    print(("BROKEN: " if broken else "HELD: ") + text)
    system.close()
    sys.exit(1 if broken else 0)


def main(case_dir, play):
    record = Record(case_dir)
    system = System(record)
    try:
        play(system, record)
    except SystemExit:
        raise
    except BaseException as error:
        record(f"the case could not run: {error!r}")
        print(f"the case could not run: {error!r}", file=sys.stderr)
        system.close()
        sys.exit(2)
