"""Initial shares of the regions for the requests of one region.

Shares may change only slowly under load. Those of a region with too little
capacity therefore start close to the values on which they will settle.
"""

from collections.abc import Mapping


def initial_shares(room: Mapping[str, float], home: str) -> dict[str, float]:
    """Return the regions' shares of the requests that arrive in `home`.

    `room` is the capacity by region. All regions are assumed to have equal
    demand; capacity above it goes to the regions that have too little.
    """
    total = sum(room.values())
    if total <= 0 or home not in room:
        return {}
    demand = total / len(room)
    missing = max(0.0, demand - room[home])
    spare = {name: max(0.0, held - demand) for name, held in room.items()}
    lent = sum(spare.values())
    if missing <= 0 or lent <= 0:
        return {home: 1.0}
    shares = {name: missing / demand * part / lent for name, part in spare.items()}
    shares[home] = 1.0 - missing / demand
    return {name: share for name, share in shares.items() if share > 0}
