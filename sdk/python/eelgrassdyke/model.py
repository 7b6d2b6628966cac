"""Teams, services, rank groups and shares, and their submission.

Each class validates its values on construction: first the type and range of each value, then the
rules of :mod:`eelgrassdyke.rules`. A :class:`Document` also validates the references between its
objects.
"""

from __future__ import annotations

import hashlib
import json
from collections.abc import Iterator, Mapping, Sequence
from dataclasses import dataclass, field
from enum import Enum
from typing import Any

from eelgrassdyke import rules, values
from eelgrassdyke.faults import Fault, raise_if_any

Json = dict[str, Any]


def token_digest(token: str) -> str:
    """Returns the SHA-256 digest of a bearer token, as used by :class:`Team`."""
    return hashlib.sha256(token.strip().encode()).hexdigest()


class Kind(str, Enum):
    """Kind of a service."""

    DRAFTING = "drafting"
    """A model engine with a completions API that streams tokens."""
    PLAIN = "plain"
    """An application that answers each request with one response."""


@dataclass(frozen=True, slots=True)
class Share:
    """A team's share of one service, in thousandths of the service's capacity."""

    guaranteed: int = 0
    """Capacity reserved for the team."""
    weight: int = 1
    """Weight in the division of the remaining capacity."""
    cap: int = 1000
    """Maximum capacity that the team may use."""

    def __post_init__(self) -> None:
        raise_if_any(self._value_faults())
        raise_if_any(self._rule_faults())

    def _value_faults(self) -> Iterator[Fault]:
        yield from values.count_faults("guaranteed", self.guaranteed)
        yield from values.count_faults("weight", self.weight, values.U32_MAX)
        yield from values.count_faults("cap", self.cap)

    def _rule_faults(self) -> Iterator[Fault]:
        return rules.share_faults("", self.to_json())

    def to_json(self) -> Json:
        """Returns the share in the JSON format of control."""
        return {"guaranteed": self.guaranteed, "weight": self.weight, "cap": self.cap}


@dataclass(frozen=True, slots=True)
class Team:
    """A customer: the tokens of its callers and its shares of services."""

    tokens: Sequence[str] = ()
    """SHA-256 digests of accepted bearer tokens; see :func:`token_digest`."""
    shares: Mapping[str, Share] = field(default_factory=dict)
    """Share by service; a service that is not listed has ``Share()``."""

    def __post_init__(self) -> None:
        raise_if_any(self._value_faults())
        raise_if_any(self._rule_faults())

    def _value_faults(self) -> Iterator[Fault]:
        for index, digest in enumerate(self.tokens):
            yield from values.digest_faults(f"tokens.{index}", digest)
        for service in self.shares:
            yield from values.name_faults(f"shares.{service}", service)

    def _rule_faults(self) -> Iterator[Fault]:
        return rules.team_faults("", self.to_json())

    def to_json(self) -> Json:
        """Returns the team in the JSON format of control."""
        shares = {service: share.to_json() for service, share in self.shares.items()}
        return {"tokens": list(self.tokens), "shares": shares}


@dataclass(frozen=True, slots=True)
class Route:
    """A rule that classifies requests to a plain service."""

    path: str
    """The path prefix to match."""
    idempotent: bool
    """Whether a matching request may be executed more than once."""
    method: str | None = None
    """The HTTP method to match; any method if ``None``."""

    def __post_init__(self) -> None:
        raise_if_any(self._value_faults())
        raise_if_any(self._rule_faults())

    def _value_faults(self) -> Iterator[Fault]:
        yield from values.text_faults("path", self.path)
        yield from values.flag_faults("idempotent", self.idempotent)
        if self.method is not None:
            yield from values.text_faults("method", self.method)

    def _rule_faults(self) -> Iterator[Fault]:
        return rules.route_faults("", self.to_json())

    def to_json(self) -> Json:
        """Returns the rule in the JSON format of control."""
        return {"method": self.method, "path": self.path, "idempotent": self.idempotent}


@dataclass(frozen=True, slots=True)
class Service:
    """A drafting model or a plain application that callers send requests to."""

    kind: Kind
    """Kind of the backend servers."""
    timeout_ms: int = 30_000
    """Deadline of requests that set none, in milliseconds."""
    body_max: int = 1 << 20
    """Largest request body, in bytes."""
    routes: Sequence[Route] = ()
    """Rules of a plain service; the first matching rule applies."""
    retry_budget: int = 100
    """Maximum number of retries, in thousandths of first attempts."""
    checks_fence: bool = False
    """Whether the backend servers refuse orders with an outdated fencing token."""

    def __post_init__(self) -> None:
        raise_if_any(self._value_faults())
        raise_if_any(self._rule_faults())

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
        """Returns the service in the JSON format of control."""
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
    """A rank group: servers that run in lock-step on one expert placement."""

    service: str
    """The service that the group serves."""
    ranks: Mapping[int, str]
    """The server of each rank."""
    experts: int
    """Number of experts in each layer."""
    layers: int
    """Number of layers with experts."""
    slots: int
    """Number of expert slots of each rank in each layer."""
    expert_bytes: int
    """Size of one expert's weights, in bytes."""
    store_rate: int
    """Maximum rate at which the group reads from the weight store, in bytes per second."""
    skew_weight: int
    """Cost weight of step-time skew in the planner."""
    move_weight: int
    """Cost weight of moved bytes in the planner."""
    frozen: bool = False
    """Whether the current expert placement is kept unchanged."""

    def __post_init__(self) -> None:
        raise_if_any(self._value_faults())
        raise_if_any(self._rule_faults())

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
        """Returns the group in the JSON format of control."""
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
        raise_if_any(self._value_faults())
        raise_if_any(self._rule_faults())

    def _value_faults(self) -> Iterator[Fault]:
        yield from _object_faults("teams", self.teams)
        yield from _object_faults("services", self.services)
        yield from _object_faults("groups", self.groups)

    def _rule_faults(self) -> Iterator[Fault]:
        return rules.document_faults(self.to_json())

    def to_json(self) -> Json:
        """Returns the document in the JSON format of control."""
        return {
            "teams": {name: team.to_json() for name, team in self.teams.items()},
            "services": {name: service.to_json() for name, service in self.services.items()},
            "groups": {name: group.to_json() for name, group in self.groups.items()},
        }


@dataclass(frozen=True, slots=True)
class Patch:
    """Objects to set, or to remove if the value is ``None``.

    References to objects already in force are validated by control.
    """

    teams: Mapping[str, Team | None] = field(default_factory=dict)
    services: Mapping[str, Service | None] = field(default_factory=dict)
    groups: Mapping[str, Group | None] = field(default_factory=dict)

    def __post_init__(self) -> None:
        raise_if_any(self._value_faults())
        raise_if_any(self._rule_faults())

    def _value_faults(self) -> Iterator[Fault]:
        yield from _object_faults("teams", self.teams)
        yield from _object_faults("services", self.services)
        yield from _object_faults("groups", self.groups)

    def _rule_faults(self) -> Iterator[Fault]:
        return iter(())

    def to_json(self) -> Json:
        """Returns the patch in the JSON format of control."""
        kinds: Json = {"teams": self.teams, "services": self.services, "groups": self.groups}
        return {
            kind: {name: value.to_json() if value else None for name, value in objects.items()}
            for kind, objects in kinds.items()
        }


@dataclass(frozen=True, slots=True)
class Submission:
    """A change with its operation identifier and base version.

    A resend with the same operation and base is applied once.
    """

    operation: str
    """Identifier of the change."""
    base: int
    """Version of the configuration that the change is based on."""
    author: str
    """Author recorded with the change."""
    change: Document | Patch
    """The whole configuration, or a patch."""

    def __post_init__(self) -> None:
        raise_if_any(self._value_faults())
        raise_if_any(self._rule_faults())

    def _value_faults(self) -> Iterator[Fault]:
        yield from values.name_faults("operation", self.operation)
        yield from values.count_faults("base", self.base)
        yield from values.text_faults("author", self.author)

    def _rule_faults(self) -> Iterator[Fault]:
        return iter(())

    def to_json(self) -> Json:
        """Returns the submission in the JSON format of control."""
        kind = "whole" if isinstance(self.change, Document) else "patch"
        return {
            "operation": self.operation,
            "base": self.base,
            "author": self.author,
            "change": {kind: self.change.to_json()},
        }

    def __str__(self) -> str:
        return json.dumps(self.to_json(), indent=2, sort_keys=True)
