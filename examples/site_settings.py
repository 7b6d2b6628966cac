"""Generates the settings of all processes of a site from a short description.

``examples/huon/generate.py`` and ``examples/pauta/generate.py`` use it. Each writes the settings of
every process and the first submission of its site into its own folder, and may be run from any
folder.
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
FIRST_SERVER_HOST = 11  # last byte of the address of the first server's host


@dataclass(frozen=True, slots=True)
class Place:
    """A data centre: its name, its network prefix, and its number of servers of each service."""

    name: str
    network: str
    drafting: int
    plain: int


@dataclass(frozen=True, slots=True)
class Site:
    """A site: in each data centre an entry and control process, and an agent for each backend server."""

    region: str
    places: tuple[Place, ...]
    plain_service: str
    slots: int
    token_rate: int

    def write(self, folder: Path, document: Document, author: str) -> None:
        """Writes the settings of every process and the first submission."""
        for settings_file in folder.glob("*.jsonc"):
            settings_file.unlink()
        for place in self.places:
            self._write_entry(folder, place)
            for index in range(place.drafting + place.plain):
                self._write_agent(folder, place, index)
        submission = Submission(f"{self.region}-first", 0, author, document)
        (folder / "configuration.json").write_text(f"{submission}\n")

    def _control_addresses(self) -> list[str]:
        return [f"{place.network}.1:{PEERS_PORT}" for place in self.places]

    def _settings(self, place: Place, process: str, host: str) -> dict[str, Any]:
        return {
            "process": process,
            "host": f"{place.name}-{host}",
            "data_centre": place.name,
            "region": self.region,
            "listen": f"{place.network}.{host}:{PEERS_PORT}",
            "control": self._control_addresses(),
            "peer_secret_file": "/etc/eelgrassdyke/peer-secret",
            "operator_tokens_file": "/etc/eelgrassdyke/operators",
            "log": {"folder": "/var/log/eelgrassdyke"},
        }

    def _write_entry(self, folder: Path, place: Place) -> None:
        process = f"{place.name}-entry"
        settings = self._settings(place, process, "1")
        settings["entry_role"] = {"listen": f"{place.network}.1:{CALLERS_PORT}"}
        data = "/var/lib/eelgrassdyke"
        settings["control_role"] = {"data": data, "start": {"found": self._control_addresses()}}
        comment = "Entry and control process: accepts callers' requests and keeps the replicated log."
        _write(folder, process, comment, settings)

    def _write_agent(self, folder: Path, place: Place, index: int) -> None:
        host = str(FIRST_SERVER_HOST + index)
        is_drafting = index < place.drafting
        service = "draft" if is_drafting else self.plain_service
        number = index + 1 if is_drafting else index + 1 - place.drafting
        process = f"{place.name}-{service}-{number}"
        settings = self._settings(place, f"agent-{process}", host)
        role: dict[str, Any] = {
            "server": process,
            "service": service,
            "backend": f"127.0.0.1:{BACKEND_PORT}",
            "slots": self.slots,
        }
        if is_drafting:
            role["token_rate"] = self.token_rate
            role["rank"] = {"group": f"draft-{place.name}", "rank": index}
        settings["agent_role"] = role
        _write(folder, process, f"Agent of a backend server of service {service}.", settings)


def _write(folder: Path, name: str, comment: str, settings: dict[str, Any]) -> None:
    text = json.dumps(settings, indent=2)
    (folder / f"{name}.jsonc").write_text(f"// {comment}\n{text}\n")
