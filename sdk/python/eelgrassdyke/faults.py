"""Faults of a configuration, as control tells them."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Fault:
    """One fault: where it is, what is wrong, and what to do about it."""

    path: str
    problem: str
    remedy: str

    def __str__(self) -> str:
        place = f"{self.path}: " if self.path else ""
        return f"{place}{self.problem}; {self.remedy}"


class InvalidError(ValueError):
    """A value that control would refuse; holds every fault found."""

    def __init__(self, faults: Iterable[Fault]) -> None:
        self.faults = tuple(faults)
        super().__init__("\n".join(str(fault) for fault in self.faults))


def raise_any(faults: Iterable[Fault]) -> None:
    """Raises :class:`InvalidError` when there is any fault."""
    found = tuple(faults)
    if found:
        raise InvalidError(found)
