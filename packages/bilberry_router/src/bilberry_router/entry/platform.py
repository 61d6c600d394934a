"""Interface between the entry and the platform it runs on."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from bilberry_core.outcome import Result
from bilberry_fleet.discovery.config import ConfigDecoder
from bilberry_fleet.discovery.messages import NodeInfo
from bilberry_fleet.discovery.source import ObjectSource, Record
from bilberry_fleet.discovery.upstreams import UpstreamDecoder
from bilberry_store.errors import StoreError

from .messages import HeaderNames


@dataclass(slots=True, frozen=True)
class ObjectKinds:
    """Name the kinds of stored objects.

    `config_name` is the name of the one object of kind `config`.
    """

    config: str
    config_name: str
    upstreams: str
    evacuations: str
    nodes: str


@dataclass(slots=True, frozen=True)
class DirectoryQuery:
    """Represent a caller's query for nodes, with its location.

    `host` is the host of the caller's requests, empty if it isn't given.
    """

    failure_domain: str
    region: str
    host: str = ""


class NodeRegistration(Protocol):
    """Define how to write this node's entry to the platform's store."""

    def put(self, node: NodeInfo) -> Result[None, StoreError]:
        """Write or replace the node's entry."""
        ...

    def delete(self, name: str) -> Result[None, StoreError]:
        """Remove a node's entry."""
        ...


@dataclass(slots=True, frozen=True)
class Platform:
    """Store the names, formats and calls of a platform."""

    kinds: ObjectKinds
    header_names: HeaderNames
    source: ObjectSource
    registration: NodeRegistration
    decode_config: ConfigDecoder
    decode_upstream: UpstreamDecoder
    decode_node: Callable[[Record], Result[NodeInfo, str]]
    decode_query: Callable[[str], DirectoryQuery | None]
    encode_addresses: Callable[[list[str], int], bytes]
    ready_path: str
    directory_path: str
