"""What control demands of a document beyond the types of its values.

These rules are those of ``crates/control/src/state/validate.rs``, on the document as it is
submitted. ``tests/cases.json`` holds cases that both must decide alike.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any

from eelgrassdyke.faults import Fault

TIMEOUT_MS_MAX = 3_600_000
BODY_MAX = 32 << 20
WHOLE = 1000

Json = dict[str, Any]


def document_faults(document: Json) -> Iterator[Fault]:
    """Every fault of a whole document."""
    services, teams, groups = document["services"], document["teams"], document["groups"]
    for name, service in services.items():
        if service["kind"] == "plain" and "/" in name:
            yield Fault(
                f"services.{name}",
                "a plain service is addressed by the first segment of the path",
                "give it a name without /",
            )
        yield from service_faults(f"services.{name}", service)
    tokens: dict[str, str] = {}
    for name, team in teams.items():
        yield from _token_faults(f"teams.{name}", team, tokens, name)
        for service, share in team["shares"].items():
            path = f"teams.{name}.shares.{service}"
            if service not in services:
                yield Fault(path, "no such service", "create the service or drop the share")
            yield from share_faults(path, share)
    yield from _guarantee_faults(teams)
    servers: dict[str, str] = {}
    for name, group in groups.items():
        service = services.get(group["service"])
        if service is None or service["kind"] != "drafting":
            yield Fault(
                f"groups.{name}.service",
                f"{group['service']} is not a drafting service",
                "name a service of kind drafting",
            )
        yield from _size_faults(f"groups.{name}", group)
        yield from _server_faults(f"groups.{name}", group, servers, name)


def service_faults(path: str, service: Json) -> Iterator[Fault]:
    """Faults of one service."""
    timeout, body, budget = service["timeout_ms"], service["body_max"], service["retry_budget"]
    if timeout == 0 or timeout > TIMEOUT_MS_MAX:
        yield Fault(
            _join(path, "timeout_ms"),
            f"{timeout} is out of range",
            f"give 1 to {TIMEOUT_MS_MAX} milliseconds",
        )
    if body > BODY_MAX:
        yield Fault(
            _join(path, "body_max"),
            f"{body} bytes are too many",
            f"give at most {BODY_MAX} bytes",
        )
    if budget > WHOLE:
        yield Fault(
            _join(path, "retry_budget"),
            f"{budget} thousandths are more than every request",
            "give at most 1000",
        )
    for at, route in enumerate(service["routes"]):
        yield from route_faults(_join(path, f"routes.{at}"), route)


def route_faults(path: str, route: Json) -> Iterator[Fault]:
    """Faults of one rule of a service."""
    if not str(route["path"]).startswith("/"):
        yield Fault(_join(path, "path"), f"{route['path']!r} is not a path", "begin it with /")


def team_faults(path: str, team: Json) -> Iterator[Fault]:
    """Faults of one team that show in the team alone."""
    yield from _token_faults(path, team, {}, "this one")
    for service, share in team["shares"].items():
        yield from share_faults(_join(path, f"shares.{service}"), share)


def share_faults(path: str, share: Json) -> Iterator[Fault]:
    """Faults of one share."""
    guaranteed, weight, cap = share["guaranteed"], share["weight"], share["cap"]
    if cap > WHOLE or guaranteed > cap:
        yield Fault(
            path,
            f"guaranteed {guaranteed} and cap {cap}",
            "give guaranteed at most cap and cap at most 1000",
        )
    if weight == 0 and guaranteed == 0 and cap > 0:
        yield Fault(
            path,
            "neither a guaranteed part nor a weight",
            "give a weight of at least 1, or a cap of 0 to shut the team out",
        )


def group_faults(path: str, group: Json) -> Iterator[Fault]:
    """Faults of one rank group that show in the group alone."""
    yield from _size_faults(path, group)
    yield from _server_faults(path, group, {}, "this one")


def _token_faults(path: str, team: Json, owners: dict[str, str], name: str) -> Iterator[Fault]:
    """Each token belongs to one team, once."""
    for at, token in enumerate(team["tokens"]):
        token = token.lower()
        if token in owners:
            yield Fault(
                _join(path, f"tokens.{at}"),
                f"team {owners[token]} has the same token",
                "give each team tokens of its own, each once",
            )
        owners[token] = name


def _guarantee_faults(teams: Json) -> Iterator[Fault]:
    """The guaranteed parts of one service may not exceed the whole."""
    totals: dict[str, int] = {}
    for team in teams.values():
        for service, share in team["shares"].items():
            totals[service] = totals.get(service, 0) + share["guaranteed"]
    for service, total in totals.items():
        if total > WHOLE:
            yield Fault(
                f"services.{service}",
                f"teams are guaranteed {total} thousandths together",
                "lower their guaranteed parts to 1000 together",
            )


def _size_faults(path: str, group: Json) -> Iterator[Fault]:
    """The ranks are numbered without gaps and hold every expert."""
    ranks = group["ranks"]
    counts = {"ranks": len(ranks)}
    for field in ("experts", "layers", "slots", "expert_bytes", "store_rate"):
        counts[field] = group[field]
    for field, count in counts.items():
        if count == 0:
            yield Fault(_join(path, field), "is nothing", "give at least 1")
    if sorted(int(rank) for rank in ranks) != list(range(len(ranks))):
        yield Fault(
            _join(path, "ranks"),
            "the ranks have gaps",
            "number them from 0 without gaps",
        )
    room = len(ranks) * group["slots"]
    if room < group["experts"]:
        yield Fault(
            _join(path, "slots"),
            f"{room} slots for {group['experts']} experts",
            "give ranks times slots at least as many as experts",
        )
    if group["skew_weight"] == 0 and group["move_weight"] == 0:
        yield Fault(
            _join(path, "skew_weight"),
            "neither skew nor moves have a price",
            "give skew_weight or move_weight at least 1",
        )


def _server_faults(path: str, group: Json, held: dict[str, str], name: str) -> Iterator[Fault]:
    """Each server holds one rank of one group."""
    for rank, server in group["ranks"].items():
        if server in held:
            yield Fault(
                _join(path, f"ranks.{rank}"),
                f"server {server} holds a rank of group {held[server]}",
                "give each rank a server of its own",
            )
        held[server] = name


def _join(path: str, part: str) -> str:
    return f"{path}.{part}" if path else part
