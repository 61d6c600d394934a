"""Guess where the first requests of a region should go.

Answers the first seconds of load at a region that is short of room: shares
may move only slowly afterwards, so they start near where they will settle.
"""

from collections.abc import Mapping


def first_shares(room: Mapping[str, float], home: str) -> dict[str, float]:
    """Return the shares of the regions for requests that arise at `home`.

    `room` gives the room of each region; equal demand of all is assumed.
    What a region has above its demand is lent to those that are short.
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
