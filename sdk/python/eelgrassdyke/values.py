"""Validation of single values: the types and ranges that control's decoder accepts."""

from __future__ import annotations

import re
from collections.abc import Iterator

from eelgrassdyke.faults import Fault

NAME_BYTES_MAX = 128
U32_MAX = 2**32 - 1
U64_MAX = 2**64 - 1

_NAME = re.compile(r"[A-Za-z0-9._:/-]+", re.ASCII)
_DIGEST = re.compile(r"[0-9a-fA-F]{64}", re.ASCII)


def name_faults(path: str, value: object) -> Iterator[Fault]:
    """Yields a fault unless ``value`` is a name: 1 to 128 letters, digits and ``. _ : / -``."""
    if not isinstance(value, str):
        yield Fault(path, f"{value!r} is not a string", "give a name")
    elif len(value) > NAME_BYTES_MAX or not _NAME.fullmatch(value):
        yield Fault(
            path,
            f"{value!r} is not a name",
            f"use 1 to {NAME_BYTES_MAX} letters, digits and . _ : / -",
        )


def count_faults(path: str, value: object, maximum: int = U64_MAX) -> Iterator[Fault]:
    """Yields a fault unless ``value`` is an integer from 0 to ``maximum``."""
    if isinstance(value, bool) or not isinstance(value, int) or not 0 <= value <= maximum:
        yield Fault(path, f"{value!r} is out of range", f"give an integer from 0 to {maximum}")


def flag_faults(path: str, value: object) -> Iterator[Fault]:
    """Yields a fault unless ``value`` is a boolean."""
    if not isinstance(value, bool):
        yield Fault(path, f"{value!r} is not a boolean", "give True or False")


def text_faults(path: str, value: object) -> Iterator[Fault]:
    """Yields a fault unless ``value`` is a string."""
    if not isinstance(value, str):
        yield Fault(path, f"{value!r} is not a string", "give a string")


def digest_faults(path: str, value: object) -> Iterator[Fault]:
    """Yields a fault unless ``value`` is a SHA-256 digest."""
    if not isinstance(value, str) or not _DIGEST.fullmatch(value):
        yield Fault(
            path,
            f"{value!r} is not a digest",
            "give 64 hexadecimal digits, as returned by token_digest",
        )
