"""Teams, services, rank groups and shares, and how they are submitted.

Each class checks its values when it is made; a :class:`Document` checks that its objects fit
together.
"""

from __future__ import annotations

import hashlib
import json
from collections.abc import Iterator, Mapping, Sequence
from dataclasses import dataclass, field
from enum import Enum
from typing import Any

from eelgrassdyke import rules, values
from eelgrassdyke.faults import Fault, raise_any

Json = dict[str, Any]


def token_digest(token: str) -> str:
    """The SHA-256 digest of a bearer token, as :class:`Team` takes it."""
    return hashlib.sha256(token.strip().encode()).hexdigest()


class Kind(str, Enum):
    """Kind of a service."""

    DRAFTING = "drafting"
    """A model engine that speaks the completions format and streams tokens."""
    PLAIN = "plain"
    """An application that answers each call at once."""


@dataclass(frozen=True, slots=True)
class Share:
    """What a team is entitled to on one service, in thousandths of its capacity."""

    guaranteed: int = 0
    """Part that is always the team's."""
    weight: int = 1
    """Weight in the division of what is not guaranteed."""
    cap: int = 1000
    """Most that the team may use."""

    def __post_init__(self) -> None:
        raise_any(self._value_faults())
        raise_any(self._rule_faults())

    def _value_faults(self) -> Iterator[Fault]:
        yield from values.count_faults("guaranteed", self.guaranteed)
        yield from values.count_faults("weight", self.weight, values.U32_MAX)
        yield from values.count_faults("cap", self.cap)

    def _rule_faults(self) -> Iterator[Fault]:
        return rules.share_faults("", self.to_json())

    def to_json(self) -> Json:
        """The share as control reads it."""
        return {"guaranteed": self.guaranteed, "weight": self.weight, "cap": self.cap}


@dataclass(frozen=True, slots=True)
class Team:
    """A customer: who may call in its name and what it is entitled to."""

    tokens: Sequence[str] = ()
    """SHA-256 digests of accepted bearer tokens; see :func:`token_digest`."""
    shares: Mapping[str, Share] = field(default_factory=dict)
    """Entitlement by service; a service not named here gets ``Share()``."""

    def __post_init__(self) -> None:
        raise_any(self._value_faults())
        raise_any(self._rule_faults())

    def _value_faults(self) -> Iterator[Fault]:
        for at, digest in enumerate(self.tokens):
            yield from values.digest_faults(f"tokens.{at}", digest)
        for service in self.shares:
            yield from values.name_faults(f"shares.{service}", service)

    def _rule_faults(self) -> Iterator[Fault]:
        return rules.team_faults("", self.to_json())

    def to_json(self) -> Json:
        """The team as control reads it."""
        shares = {service: share.to_json() for service, share in self.shares.items()}
        return {"tokens": list(self.tokens), "shares": shares}


@dataclass(frozen=True, slots=True)
class Route:
    """A rule that classifies calls to a plain service."""

    path: str
    """The path prefix matched."""
    idempotent: bool
    """Whether such a call may run more than once."""
    method: str | None = None
    """The method matched; any when absent."""

    def __post_init__(self) -> None:
        raise_any(self._value_faults())
        raise_any(self._rule_faults())

    def _value_faults(self) -> Iterator[Fault]:
        yield from values.text_faults("path", self.path)
        yield from values.flag_faults("idempotent", self.idempotent)
        if self.method is not None:
            yield from values.text_faults("method", self.method)

    def _rule_faults(self) -> Iterator[Fault]:
        return rules.route_faults("", self.to_json())

    def to_json(self) -> Json:
        """The rule as control reads it."""
        return {"method": self.method, "path": self.path, "idempotent": self.idempotent}


@dataclass(frozen=True, slots=True)
class Service:
    """A drafting model or a plain application that callers address."""

    kind: Kind
    """What kind of back end serves it."""
    timeout_ms: int = 30_000
    """Deadline of a request that names none, in milliseconds."""
    body_max: int = 1 << 20
    """Largest request body, in bytes."""
    routes: Sequence[Route] = ()
    """Rules of a plain service; the first match wins."""
    retry_budget: int = 100
    """Retries as a share of first tries, in thousandths."""
    checks_fence: bool = False
    """Whether its back ends refuse an order with an old fence."""

    def __post_init__(self) -> None:
        raise_any(self._value_faults())
        raise_any(self._rule_faults())

    def _value_faults(self) -> Iterator[Fault]:
        if not isinstance(self.kind, Kind):
            yield Fault("kind", f"{self.kind!r} is not a kind", "give Kind.DRAFTING or Kind.PLAIN")
            return
        yield from values.count_faults("timeout_ms", self.timeout_ms)
        yield from values.count_faults("body_max", self.body_max)
        yield from values.count_faults("retry_budget", self.retry_budget)
        yield from values.flag_faults("checks_fence", self.checks_fence)

    def _rule_faults(self) -> Iterator[Fault]:
        return rules.service_faults("", self.to_json())

    def to_json(self) -> Json:
        """The service as control reads it."""
        return {
            "kind": self.kind.value,
            "timeout_ms": self.timeout_ms,
            "body_max": self.body_max,
            "routes": [route.to_json() for route in self.routes],
            "retry_budget": self.retry_budget,
            "checks_fence": self.checks_fence,
        }


@dataclass(frozen=True, slots=True)
class Group:
    """A rank group: servers that run in lock-step on one expert map."""

    service: str
    """The service that the group serves."""
    ranks: Mapping[int, str]
    """The servers that hold its ranks, by rank."""
    experts: int
    """Experts in each layer."""
    layers: int
    """Layers with experts."""
    slots: int
    """Expert slots of each rank and layer."""
    expert_bytes: int
    """Size of one expert's weights, in bytes."""
    store_rate: int
    """Bytes a second that the group may draw from the weight store."""
    skew_weight: int
    """Price of step-time skew in the planner."""
    move_weight: int
    """Price of moved bytes in the planner."""
    frozen: bool = False
    """Whether the present map is kept as it is."""

    def __post_init__(self) -> None:
        raise_any(self._value_faults())
        raise_any(self._rule_faults())

    def _value_faults(self) -> Iterator[Fault]:
        yield from values.name_faults("service", self.service)
        for rank, server in self.ranks.items():
            yield from values.count_faults(f"ranks.{rank}", rank)
            yield from values.name_faults(f"ranks.{rank}", server)
        for name in ("experts", "layers", "slots", "skew_weight", "move_weight"):
            yield from values.count_faults(name, getattr(self, name), values.U32_MAX)
        for name in ("expert_bytes", "store_rate"):
            yield from values.count_faults(name, getattr(self, name))
        yield from values.flag_faults("frozen", self.frozen)

    def _rule_faults(self) -> Iterator[Fault]:
        return rules.group_faults("", self.to_json())

    def to_json(self) -> Json:
        """The group as control reads it."""
        return {
            "service": self.service,
            "ranks": {str(rank): server for rank, server in self.ranks.items()},
            "experts": self.experts,
            "layers": self.layers,
            "slots": self.slots,
            "expert_bytes": self.expert_bytes,
            "store_rate": self.store_rate,
            "skew_weight": self.skew_weight,
            "move_weight": self.move_weight,
            "frozen": self.frozen,
        }


def _object_faults(kind: str, objects: Mapping[str, object]) -> Iterator[Fault]:
    for name in objects:
        yield from values.name_faults(f"{kind}.{name}", name)


@dataclass(frozen=True, slots=True)
class Document:
    """The whole configuration, by object name."""

    teams: Mapping[str, Team] = field(default_factory=dict)
    services: Mapping[str, Service] = field(default_factory=dict)
    groups: Mapping[str, Group] = field(default_factory=dict)

    def __post_init__(self) -> None:
        raise_any(self._value_faults())
        raise_any(self._rule_faults())

    def _value_faults(self) -> Iterator[Fault]:
        yield from _object_faults("teams", self.teams)
        yield from _object_faults("services", self.services)
        yield from _object_faults("groups", self.groups)

    def _rule_faults(self) -> Iterator[Fault]:
        return rules.document_faults(self.to_json())

    def to_json(self) -> Json:
        """The document as control reads it."""
        return {
            "teams": {name: team.to_json() for name, team in self.teams.items()},
            "services": {name: service.to_json() for name, service in self.services.items()},
            "groups": {name: group.to_json() for name, group in self.groups.items()},
        }


@dataclass(frozen=True, slots=True)
class Patch:
    """Objects to put, or to remove where the value is ``None``.

    Whether the objects fit those that are in force already is for control to say.
    """

    teams: Mapping[str, Team | None] = field(default_factory=dict)
    services: Mapping[str, Service | None] = field(default_factory=dict)
    groups: Mapping[str, Group | None] = field(default_factory=dict)

    def __post_init__(self) -> None:
        raise_any(self._value_faults())
        raise_any(self._rule_faults())

    def _value_faults(self) -> Iterator[Fault]:
        yield from _object_faults("teams", self.teams)
        yield from _object_faults("services", self.services)
        yield from _object_faults("groups", self.groups)

    def _rule_faults(self) -> Iterator[Fault]:
        return iter(())

    def to_json(self) -> Json:
        """The patch as control reads it."""
        kinds: Json = {"teams": self.teams, "services": self.services, "groups": self.groups}
        return {
            kind: {name: held.to_json() if held else None for name, held in objects.items()}
            for kind, objects in kinds.items()
        }


@dataclass(frozen=True, slots=True)
class Submission:
    """A change as it is submitted.

    The same operation from the same base is applied once, however often it is sent.
    """

    operation: str
    """Names this change."""
    base: int
    """Version of the configuration that the change was made from."""
    author: str
    """Who submits it, for the record."""
    change: Document | Patch
    """The whole configuration, or a patch."""

    def __post_init__(self) -> None:
        raise_any(self._value_faults())
        raise_any(self._rule_faults())

    def _value_faults(self) -> Iterator[Fault]:
        yield from values.name_faults("operation", self.operation)
        yield from values.count_faults("base", self.base)
        yield from values.text_faults("author", self.author)

    def _rule_faults(self) -> Iterator[Fault]:
        return iter(())

    def to_json(self) -> Json:
        """The submission as control reads it."""
        kind = "whole" if isinstance(self.change, Document) else "patch"
        return {
            "operation": self.operation,
            "base": self.base,
            "author": self.author,
            "change": {kind: self.change.to_json()},
        }

    def __str__(self) -> str:
        return json.dumps(self.to_json(), indent=2, sort_keys=True)
