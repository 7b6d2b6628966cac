"""Fundación Pauta Visual: drafting on 12 servers and the portal on 3, in central Mexico.

A disturbed working session risks a lost or duplicate approval, so moved bytes have four times the
weight of step-time skew.
"""

from __future__ import annotations

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parents[1]))

from site_settings import Place, Site  # noqa: E402

from eelgrassdyke import Document, Group, Kind, Route, Service, Share, Team, token_digest  # noqa: E402

SITE = Site(
    region="mexico",
    places=(
        Place("centro-a", "10.11.0", drafting=4, plain=1),
        Place("centro-b", "10.12.0", drafting=4, plain=1),
        Place("centro-c", "10.13.0", drafting=4, plain=1),
    ),
    plain_service="portal",
    slots=16,
    token_rate=800,
)

# Guaranteed share of drafting in thousandths, and weight in the division of the remaining capacity.
TEAMS = {
    "cooperativas-norte": (220, 4),
    "cooperativas-sur": (180, 4),
    "escuelas": (180, 3),
    "campus": (80, 2),
    "grupos-civicos": (80, 2),
    "imprentas": (60, 1),
    "museos": (50, 1),
    "voluntarios": (40, 1),
    "editorial": (40, 1),
    "ensayos": (0, 1),
}


def document() -> Document:
    """Builds the configuration of the site."""
    services = {
        "draft": Service(Kind.DRAFTING, timeout_ms=30_000),
        "portal": Service(
            Kind.PLAIN,
            timeout_ms=8_000,
            routes=(
                Route("/approvals", idempotent=False, method="POST"),
                Route("/guidelines", idempotent=True),
            ),
        ),
    }
    teams = {}
    for name, (guaranteed, weight) in TEAMS.items():
        share = Share(guaranteed=guaranteed, weight=weight, cap=900)
        teams[name] = Team([token_digest(f"{name}-token")], {"draft": share})
    groups = {f"draft-{place.name}": build_group(place) for place in SITE.places}
    return Document(teams, services, groups)


def build_group(place: Place) -> Group:
    """Builds the rank group of one data centre."""
    return Group(
        service="draft",
        ranks={rank: f"{place.name}-draft-{rank + 1}" for rank in range(place.drafting)},
        experts=64,
        layers=24,
        slots=20,
        expert_bytes=44_000_000,
        store_rate=250_000_000,
        skew_weight=1,
        move_weight=4,
    )


if __name__ == "__main__":
    SITE.write(Path(__file__).parent, document(), "pauta")
