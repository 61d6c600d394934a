"""Know when the store came back from a copy."""


class StoreEra:
    """Store the latest era of the store that this node has heard of.

    The store begins an era when it comes back from a copy: what was written
    since the copy is lost, and revisions are given out again. Revisions of
    two eras must not be compared.
    """

    __slots__ = ("value",)

    def __init__(self) -> None:
        self.value = 0

    def raise_to(self, era: int) -> None:
        """Record an era that an answer or a peer names."""
        self.value = max(self.value, era)
