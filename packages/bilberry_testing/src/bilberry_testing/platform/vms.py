"""Store the list of VMs with delayed visibility, without I/O."""

from collections import deque

import msgspec

from .messages import VmList, VmUpdate


class PendingVmList(msgspec.Struct, frozen=True):
    """Store a list that becomes visible to readers at `visible_ms`."""

    visible_ms: int
    vms: VmList


class DelayedVmList:
    """Store the list of VMs and publish each new one after its lag."""

    __slots__ = ("pending", "visible")

    def __init__(self) -> None:
        self.visible = VmList()
        self.pending: deque[PendingVmList] = deque()

    def set(self, update: VmUpdate, now_ms: int) -> None:
        """Add a new list, visible after its lag."""
        visible_ms = now_ms + update.lag_ms
        self.pending.append(PendingVmList(visible_ms, VmList(update.items)))

    def current(self, now_ms: int) -> VmList:
        """Return the currently visible list."""
        while self.pending and self.pending[0].visible_ms <= now_ms:
            self.visible = self.pending.popleft().vms
        return self.visible
