"""Find the workspace of a request by the key that it carries."""

import hashlib
import re
from collections.abc import Iterable, Sequence
from enum import StrEnum, auto

from bilberry_resources.routing import RouteRule, Workspace

# At this length no two keys share a digest by chance.
DIGEST_BYTES = 16
_CREDENTIALS = re.compile(r"bearer +([\x21-\x7e]+)", re.IGNORECASE)


class AuthenticationFailure(StrEnum):
    """Enumerate why a request has no workspace."""

    MISSING_KEY = auto()
    REPEATED_KEY = auto()
    MALFORMED_KEY = auto()
    UNKNOWN_KEY = auto()


def key_digest(key: str) -> bytes:
    """Return the digest by which a key is looked up."""
    return hashlib.blake2b(key.encode(), digest_size=DIGEST_BYTES).digest()


def read_key_digest(values: Sequence[str]) -> bytes | AuthenticationFailure:
    """Return the digest of the key in the values of `Authorization`."""
    if not values:
        return AuthenticationFailure.MISSING_KEY
    if len(values) > 1:
        return AuthenticationFailure.REPEATED_KEY
    match = _CREDENTIALS.fullmatch(values[0])
    if match is None:
        return AuthenticationFailure.MALFORMED_KEY
    return key_digest(match[1])


class KeyTable:
    """Map the digests of keys to workspaces.

    A key of several workspaces belongs to the first of them.
    """

    __slots__ = ("by_digest",)

    def __init__(self) -> None:
        self.by_digest: dict[bytes, Workspace] = {}

    def install(self, workspaces: Iterable[Workspace]) -> None:
        """Replace all workspaces."""
        by_digest: dict[bytes, Workspace] = {}
        for workspace in workspaces:
            for digest in workspace.key_digests:
                by_digest.setdefault(digest, workspace)
        self.by_digest = by_digest

    def authenticate(self, values: Sequence[str]) -> Workspace | AuthenticationFailure:
        """Return the workspace for the values of `Authorization`."""
        digest = read_key_digest(values)
        if isinstance(digest, AuthenticationFailure):
            return digest
        workspace = self.by_digest.get(digest)
        return workspace or AuthenticationFailure.UNKNOWN_KEY


def common_homes(rule: RouteRule, workspace: Workspace) -> frozenset[str] | None:
    """Return the regions that both allow, None if there is none.

    An empty set allows every region.
    """
    if not rule.home_regions or not workspace.home_regions:
        return rule.home_regions or workspace.home_regions
    return (rule.home_regions & workspace.home_regions) or None
