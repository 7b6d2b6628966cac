"""Generates configurations of the eelgrassdyke load balancer.

A program builds a :class:`Document` of teams, services and rank groups and prints it as a
:class:`Submission` for ``eelgrassctl apply``. A value that control would refuse raises
:class:`InvalidError` when the object is constructed, with the path, the problem and the remedy.
"""

from eelgrassdyke.faults import Fault, InvalidError
from eelgrassdyke.model import (
    Document,
    Group,
    Kind,
    Patch,
    Route,
    Service,
    Share,
    Submission,
    Team,
    token_digest,
)

__all__ = [
    "Document",
    "Fault",
    "Group",
    "InvalidError",
    "Kind",
    "Patch",
    "Route",
    "Service",
    "Share",
    "Submission",
    "Team",
    "token_digest",
]
