"""Validation rules of control, beyond the types and ranges of single values.

The rules are those of ``crates/control/src/state/validate.rs`` and apply to the document in its
JSON form. ``tests/cases.json`` holds documents that both implementations must accept or refuse alike.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any

from eelgrassdyke.faults import Fault

TIMEOUT_MS_MAX = 3_600_000
BODY_MAX = 32 << 20
WHOLE = 1000  # the whole capacity, in thousandths

Json = dict[str, Any]


def document_faults(document: Json) -> Iterator[Fault]:
    """Yields all faults of a whole document."""
    services, teams, groups = document["services"], document["teams"], document["groups"]
    for name, service in services.items():
        if service["kind"] == "plain" and "/" in name:
            yield Fault(
                f"services.{name}",
                "the name of a plain service is the first segment of the path",
                "use a name without /",
            )
        yield from service_faults(f"services.{name}", service)
    tokens: dict[str, str] = {}
    for name, team in teams.items():
        yield from _token_faults(f"teams.{name}", team, tokens, name)
        for service, share in team["shares"].items():
            path = f"teams.{name}.shares.{service}"
            if service not in services:
                yield Fault(path, "no such service", "create the service or remove the share")
            yield from share_faults(path, share)
    yield from _guarantee_faults(teams)
    servers: dict[str, str] = {}
    for name, group in groups.items():
        service = services.get(group["service"])
        if service is None or service["kind"] != "drafting":
            yield Fault(
                f"groups.{name}.service",
                f"{group['service']} is not a drafting service",
                "use a service of kind drafting",
            )
        yield from _size_faults(f"groups.{name}", group)
        yield from _server_faults(f"groups.{name}", group, servers, name)


def service_faults(path: str, service: Json) -> Iterator[Fault]:
    """Yields the faults of one service."""
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
            f"{body} bytes exceed the maximum",
            f"give at most {BODY_MAX} bytes",
        )
    if budget > WHOLE:
        yield Fault(
            _join(path, "retry_budget"),
            f"{budget} thousandths exceed one retry per request",
            "give at most 1000",
        )
    for index, route in enumerate(service["routes"]):
        yield from route_faults(_join(path, f"routes.{index}"), route)


def route_faults(path: str, route: Json) -> Iterator[Fault]:
    """Yields the faults of one routing rule of a service."""
    if not str(route["path"]).startswith("/"):
        yield Fault(_join(path, "path"), f"{route['path']!r} is not a path", "start it with /")


def team_faults(path: str, team: Json) -> Iterator[Fault]:
    """Yields the faults of one team that do not depend on other objects."""
    yield from _token_faults(path, team, {}, "this one")
    for service, share in team["shares"].items():
        yield from share_faults(_join(path, f"shares.{service}"), share)


def share_faults(path: str, share: Json) -> Iterator[Fault]:
    """Yields the faults of one share."""
    guaranteed, weight, cap = share["guaranteed"], share["weight"], share["cap"]
    if cap > WHOLE or guaranteed > cap:
        yield Fault(
            path,
            f"guaranteed {guaranteed} and cap {cap} are out of range",
            "set guaranteed to at most cap, and cap to at most 1000",
        )
    if weight == 0 and guaranteed == 0 and cap > 0:
        yield Fault(
            path,
            "neither a guaranteed share nor a weight",
            "set weight to at least 1, or cap to 0 to exclude the team",
        )


def group_faults(path: str, group: Json) -> Iterator[Fault]:
    """Yields the faults of one rank group that do not depend on other objects."""
    yield from _size_faults(path, group)
    yield from _server_faults(path, group, {}, "this one")


def _token_faults(path: str, team: Json, owners: dict[str, str], name: str) -> Iterator[Fault]:
    """Yields a fault for each repeated token; ``owners`` maps the earlier ones to their teams."""
    for index, token in enumerate(team["tokens"]):
        token = token.lower()
        if token in owners:
            yield Fault(
                _join(path, f"tokens.{index}"),
                f"team {owners[token]} has the same token",
                "use each token once, in one team",
            )
        owners[token] = name


def _guarantee_faults(teams: Json) -> Iterator[Fault]:
    """Yields a fault for each service whose guaranteed shares exceed its capacity."""
    totals: dict[str, int] = {}
    for team in teams.values():
        for service, share in team["shares"].items():
            totals[service] = totals.get(service, 0) + share["guaranteed"]
    for service, total in totals.items():
        if total > WHOLE:
            yield Fault(
                f"services.{service}",
                f"the guaranteed shares of all teams add up to {total} thousandths",
                "reduce them to a total of at most 1000",
            )


def _size_faults(path: str, group: Json) -> Iterator[Fault]:
    """Yields the faults of a group's sizes: zeros, gaps in the ranks, too few expert slots."""
    ranks = group["ranks"]
    counts = {"ranks": len(ranks)}
    for field in ("experts", "layers", "slots", "expert_bytes", "store_rate"):
        counts[field] = group[field]
    for field, count in counts.items():
        if count == 0:
            yield Fault(_join(path, field), "must not be zero", "give at least 1")
    if sorted(int(rank) for rank in ranks) != list(range(len(ranks))):
        yield Fault(
            _join(path, "ranks"),
            "the numbers of the ranks have gaps",
            "number them from 0 without gaps",
        )
    room = len(ranks) * group["slots"]
    if room < group["experts"]:
        yield Fault(
            _join(path, "slots"),
            f"{room} slots for {group['experts']} experts",
            "increase ranks or slots until ranks times slots is at least the number of experts",
        )
    if group["skew_weight"] == 0 and group["move_weight"] == 0:
        yield Fault(
            _join(path, "skew_weight"),
            "skew_weight and move_weight are both 0",
            "set skew_weight or move_weight to at least 1",
        )


def _server_faults(path: str, group: Json, owners: dict[str, str], name: str) -> Iterator[Fault]:
    """Yields a fault for each repeated server; ``owners`` maps the earlier ones to their groups."""
    for rank, server in group["ranks"].items():
        if server in owners:
            yield Fault(
                _join(path, f"ranks.{rank}"),
                f"server {server} already has a rank in group {owners[server]}",
                "use a different server for each rank",
            )
        owners[server] = name


def _join(path: str, part: str) -> str:
    return f"{path}.{part}" if path else part
