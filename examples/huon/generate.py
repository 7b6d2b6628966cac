"""Huon Refillery Labs: drafting on 12 servers and orders on 3, in three data centres in Tasmania.

Customers phone when drafts are late, so step-time skew has four times the weight of moved bytes.
"""

from __future__ import annotations

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parents[1]))

from site_settings import Place, Site  # noqa: E402

from eelgrassdyke import Document, Group, Kind, Route, Service, Share, Team, token_digest  # noqa: E402

SITE = Site(
    region="tasmania",
    places=(
        Place("hobart", "10.1.0", drafting=4, plain=1),
        Place("launceston", "10.2.0", drafting=4, plain=1),
        Place("devonport", "10.3.0", drafting=4, plain=1),
    ),
    plain_service="orders",
    slots=16,
    token_rate=800,
)

# Guaranteed share of drafting in thousandths, and weight in the division of the remaining capacity.
TEAMS = {
    "hobart-salons": (250, 4),
    "launceston-salons": (200, 4),
    "devonport-salons": (100, 2),
    "households-south": (80, 2),
    "households-north": (80, 2),
    "wholesale": (60, 1),
    "ingredients": (50, 1),
    "couriers": (40, 1),
    "support": (40, 1),
    "trials": (0, 1),
}


def document() -> Document:
    """Builds the configuration of the site."""
    services = {
        "draft": Service(Kind.DRAFTING, timeout_ms=30_000),
        "orders": Service(
            Kind.PLAIN,
            timeout_ms=5_000,
            routes=(
                Route("/charges", idempotent=False, method="POST"),
                Route("/stock", idempotent=True),
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
        skew_weight=4,
        move_weight=1,
    )


if __name__ == "__main__":
    SITE.write(Path(__file__).parent, document(), "huon")
