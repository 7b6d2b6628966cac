"""The library refuses the documents that control refuses, and prints input that control accepts."""

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


def build_service(fields: dict[str, Any]) -> Service:
    """Builds the service of a case."""
    kinds = {kind.value: kind for kind in Kind}
    routes = tuple(Route(**route) for route in fields.pop("routes", ()))
    return Service(kind=kinds.get(fields.pop("kind"), None), routes=routes, **fields)


def build_team(fields: dict[str, Any]) -> Team:
    """Builds the team of a case."""
    shares = {name: Share(**share) for name, share in fields.pop("shares", {}).items()}
    return Team(shares=shares, **fields)


def build_group(fields: dict[str, Any]) -> Group:
    """Builds the group of a case."""
    ranks = {int(rank): server for rank, server in fields.pop("ranks").items()}
    return Group(ranks=ranks, **fields)


def is_refused(document: dict[str, Any]) -> bool:
    """Whether constructing the objects of a case raises :class:`InvalidError`."""
    copy = json.loads(json.dumps(document))
    try:
        Document(
            teams={name: build_team(fields) for name, fields in copy.get("teams", {}).items()},
            services={
                name: build_service(fields) for name, fields in copy.get("services", {}).items()
            },
            groups={name: build_group(fields) for name, fields in copy.get("groups", {}).items()},
        )
    except InvalidError as error:
        assert error.faults and all(fault.remedy for fault in error.faults)
        return True
    return False


class CaseTest(unittest.TestCase):
    """Cases that control must decide in the same way; see ``crates/eelgrassctl/tests/sdk.rs``."""

    def test_a_case_raises_if_control_refuses_it(self) -> None:
        for case in CASES:
            with self.subTest(case["name"]):
                self.assertEqual(is_refused(case["document"]), case["paths"] != [])


class ModelTest(unittest.TestCase):
    """Output of the library and its reports of faults."""

    def test_all_faults_are_reported_with_their_paths(self) -> None:
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

    def test_invalid_values_are_refused_before_rules_are_checked(self) -> None:
        for construct_invalid in (
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
                construct_invalid()

    def test_token_digest_matches_eelgrassctl_token(self) -> None:
        expected = "0850123315d21ab90f4f7236408a52ef6dbd6a02a6550e5c10dc73f4d993680e"
        self.assertEqual(token_digest("operator-token\n"), expected)

    def test_a_submission_is_printed_as_json(self) -> None:
        document = Document(services={"draft": Service(Kind.DRAFTING)})
        whole = json.loads(str(Submission("op-1", 3, "me", document)))
        self.assertEqual(whole["base"], 3)
        self.assertEqual(whole["change"]["whole"]["services"]["draft"]["kind"], "drafting")
        patch = Patch(teams={"gone": None, "new": Team()})
        printed = json.loads(str(Submission("op-2", 4, "me", patch)))
        self.assertIsNone(printed["change"]["patch"]["teams"]["gone"])


if __name__ == "__main__":
    unittest.main()
