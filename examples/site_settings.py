"""Settings of a site's processes, written from a short description.

Run ``python3 examples/huon/generate.py`` or ``python3 examples/pauta/generate.py`` from anywhere; each writes
the settings of every process and the site's first submission into its own folder.
"""

from __future__ import annotations

import json
import sys
from dataclasses import dataclass
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).parents[1] / "sdk" / "python"))

from eelgrassdyke import Document, Submission  # noqa: E402

PEERS_PORT = 7100
CALLERS_PORT = 8000
BACKEND_PORT = 9000
FIRST_SERVER_HOST = 11


@dataclass(frozen=True, slots=True)
class Place:
    """A data centre: its name, its network, and how many servers of each service it has."""

    name: str
    network: str
    drafting: int
    plain: int


@dataclass(frozen=True, slots=True)
class Site:
    """A site: one host with entry and control in each data centre, an agent beside each server."""

    region: str
    places: tuple[Place, ...]
    plain_service: str
    slots: int
    token_rate: int

    def write(self, folder: Path, document: Document, author: str) -> None:
        """Writes the settings of every process and the first submission."""
        for old in folder.glob("*.jsonc"):
            old.unlink()
        for place in self.places:
            self._write_entry(folder, place)
            for at in range(place.drafting + place.plain):
                self._write_agent(folder, place, at)
        submission = Submission(f"{self.region}-first", 0, author, document)
        (folder / "configuration.json").write_text(f"{submission}\n")

    def _control(self) -> list[str]:
        return [f"{place.network}.1:{PEERS_PORT}" for place in self.places]

    def _settings(self, place: Place, process: str, host: str) -> dict[str, Any]:
        return {
            "process": process,
            "host": f"{place.name}-{host}",
            "data_centre": place.name,
            "region": self.region,
            "listen": f"{place.network}.{host}:{PEERS_PORT}",
            "control": self._control(),
            "peer_secret_file": "/etc/eelgrassdyke/peer-secret",
            "operator_tokens_file": "/etc/eelgrassdyke/operators",
            "log": {"folder": "/var/log/eelgrassdyke"},
        }

    def _write_entry(self, folder: Path, place: Place) -> None:
        process = f"{place.name}-entry"
        settings = self._settings(place, process, "1")
        settings["entry_role"] = {"listen": f"{place.network}.1:{CALLERS_PORT}"}
        data = "/var/lib/eelgrassdyke"
        settings["control_role"] = {"data": data, "start": {"found": self._control()}}
        _write(folder, process, "Takes callers' requests and keeps the system's state.", settings)

    def _write_agent(self, folder: Path, place: Place, at: int) -> None:
        host = str(FIRST_SERVER_HOST + at)
        drafts = at < place.drafting
        service = "draft" if drafts else self.plain_service
        number = at + 1 if drafts else at + 1 - place.drafting
        process = f"{place.name}-{service}-{number}"
        settings = self._settings(place, f"agent-{process}", host)
        role: dict[str, Any] = {
            "server": process,
            "service": service,
            "backend": f"127.0.0.1:{BACKEND_PORT}",
            "slots": self.slots,
        }
        if drafts:
            role["token_rate"] = self.token_rate
            role["rank"] = {"group": f"draft-{place.name}", "rank": at}
        settings["agent_role"] = role
        _write(folder, process, f"Stands beside a server of {service}.", settings)


def _write(folder: Path, name: str, comment: str, settings: dict[str, Any]) -> None:
    text = json.dumps(settings, indent=2)
    (folder / f"{name}.jsonc").write_text(f"// {comment}\n{text}\n")
