"""Initial shares of the regions for the requests of one region.

Shares may change only slowly under load. Those of a region with too little
capacity therefore start close to the values on which they will settle.
"""

from collections.abc import Mapping


def initial_shares(capacities: Mapping[str, float], home: str) -> dict[str, float]:
    """Return the regions' shares of the requests that arrive in `home`.

    `capacities` is by region. All regions are assumed to have equal
    demand; capacity above it goes to the regions that have too little.
    """
    total = sum(capacities.values())
    if total <= 0 or home not in capacities:
        return {}
    demand = total / len(capacities)
    shortfall = max(0.0, demand - capacities[home])
    spare = {name: max(0.0, capacity - demand) for name, capacity in capacities.items()}
    total_spare = sum(spare.values())
    if shortfall <= 0 or total_spare <= 0:
        return {home: 1.0}
    shares = {
        name: shortfall / demand * part / total_spare for name, part in spare.items()
    }
    shares[home] = 1.0 - shortfall / demand
    return {name: share for name, share in shares.items() if share > 0}
