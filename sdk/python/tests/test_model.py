"""The library refuses what control would refuse, and prints what control takes."""

from __future__ import annotations

import json
import unittest
from pathlib import Path
from typing import Any

from eelgrassdyke import (
    Document,
    Group,
    InvalidError,
    Kind,
    Patch,
    Route,
    Service,
    Share,
    Submission,
    Team,
    token_digest,
)

CASES = json.loads((Path(__file__).parent / "cases.json").read_text())


def service(fields: dict[str, Any]) -> Service:
    """The service that a case describes."""
    known = {kind.value: kind for kind in Kind}
    routes = tuple(Route(**route) for route in fields.pop("routes", ()))
    return Service(kind=known.get(fields.pop("kind"), None), routes=routes, **fields)


def team(fields: dict[str, Any]) -> Team:
    """The team that a case describes."""
    shares = {name: Share(**share) for name, share in fields.pop("shares", {}).items()}
    return Team(shares=shares, **fields)


def group(fields: dict[str, Any]) -> Group:
    """The group that a case describes."""
    ranks = {int(rank): server for rank, server in fields.pop("ranks").items()}
    return Group(ranks=ranks, **fields)


def refused(document: dict[str, Any]) -> bool:
    """Whether making the objects of a case raises."""
    copy = json.loads(json.dumps(document))
    try:
        Document(
            teams={name: team(held) for name, held in copy.get("teams", {}).items()},
            services={name: service(held) for name, held in copy.get("services", {}).items()},
            groups={name: group(held) for name, held in copy.get("groups", {}).items()},
        )
    except InvalidError as error:
        assert error.faults and all(fault.remedy for fault in error.faults)
        return True
    return False


class CaseTest(unittest.TestCase):
    """Cases that control decides alike; see crates/eelgrassctl/tests/sdk.rs."""

    def test_every_case_raises_where_control_refuses(self) -> None:
        for case in CASES:
            with self.subTest(case["name"]):
                self.assertEqual(refused(case["document"]), case["paths"] != [])


class ModelTest(unittest.TestCase):
    """What the library prints, and how it tells of faults."""

    def test_every_fault_is_told_with_its_path(self) -> None:
        share = Share(guaranteed=600)
        with self.assertRaises(InvalidError) as raised:
            Document(
                services={"draft": Service(Kind.DRAFTING)},
                teams={
                    "a": Team(shares={"draft": share}),
                    "b": Team(shares={"draft": share, "nix": Share()}),
                },
            )
        paths = [fault.path for fault in raised.exception.faults]
        self.assertEqual(paths, ["teams.b.shares.nix", "services.draft"])
        self.assertIn("create the service", str(raised.exception))

    def test_types_are_checked_before_rules(self) -> None:
        for wrong in (
            lambda: Share(weight="2"),  # type: ignore[arg-type]
            lambda: Share(guaranteed=True),
            lambda: Service("drafting"),  # type: ignore[arg-type]
            lambda: Service(Kind.PLAIN, timeout_ms=1.5),  # type: ignore[arg-type]
            lambda: Team(tokens=["secret"]),
            lambda: Route(path="/x", idempotent=1),  # type: ignore[arg-type]
            lambda: Submission("two words", 0, "me", Document()),
            lambda: Submission("op", -1, "me", Document()),
            lambda: Patch(teams={"": None}),
        ):
            with self.assertRaises(InvalidError):
                wrong()

    def test_a_digest_is_that_of_eelgrassctl_token(self) -> None:
        expected = "0850123315d21ab90f4f7236408a52ef6dbd6a02a6550e5c10dc73f4d993680e"
        self.assertEqual(token_digest("operator-token\n"), expected)

    def test_a_submission_prints_as_json(self) -> None:
        document = Document(services={"draft": Service(Kind.DRAFTING)})
        whole = json.loads(str(Submission("op-1", 3, "me", document)))
        self.assertEqual(whole["base"], 3)
        self.assertEqual(whole["change"]["whole"]["services"]["draft"]["kind"], "drafting")
        patch = Patch(teams={"gone": None, "new": Team()})
        printed = json.loads(str(Submission("op-2", 4, "me", patch)))
        self.assertIsNone(printed["change"]["patch"]["teams"]["gone"])


if __name__ == "__main__":
    unittest.main()
