"""Prints an initial submission: two teams that share a drafting model and an orders application.

    python3 sdk/python/examples/two_teams.py | eelgrassctl apply - --wait
"""

from __future__ import annotations

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parents[1]))

from eelgrassdyke import (  # noqa: E402
    Document,
    Kind,
    Route,
    Service,
    Share,
    Submission,
    Team,
    token_digest,
)

DOCUMENT = Document(
    services={
        "draft": Service(Kind.DRAFTING),
        "orders": Service(
            Kind.PLAIN,
            timeout_ms=5_000,
            routes=[Route("/charges", idempotent=False, method="POST")],
        ),
    },
    teams={
        "hobart-salons": Team(
            tokens=[token_digest("hobart-token")],
            shares={"draft": Share(guaranteed=300, weight=2, cap=900)},
        ),
        "launceston-salons": Team(
            tokens=[token_digest("launceston-token")],
            shares={"draft": Share(guaranteed=200, cap=900)},
        ),
    },
)

if __name__ == "__main__":
    print(Submission("two-teams-1", 0, "operator", DOCUMENT))
