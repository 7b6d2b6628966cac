"""Validation faults of a configuration, in the form in which control reports them."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Fault:
    """A validation fault: its path in the document, the problem and the remedy."""

    path: str
    problem: str
    remedy: str

    def __str__(self) -> str:
        prefix = f"{self.path}: " if self.path else ""
        return f"{prefix}{self.problem}; {self.remedy}"


class InvalidError(ValueError):
    """A configuration that control would refuse; ``faults`` holds all faults found."""

    def __init__(self, faults: Iterable[Fault]) -> None:
        self.faults = tuple(faults)
        super().__init__("\n".join(str(fault) for fault in self.faults))


def raise_if_any(faults: Iterable[Fault]) -> None:
    """Raises :class:`InvalidError` if there are any faults."""
    found = tuple(faults)
    if found:
        raise InvalidError(found)
