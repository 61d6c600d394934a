"""Time the look-up table at the target's number of client blocks."""

import random
import time
from ipaddress import IPv4Address

from bilberry_core.const import BYTES_PER_MB
from bilberry_steering.block_table import BlockTable

from .blocks import block_sets, client_addresses
from .report import Report

BLOCKS = 510_000
LOOKUPS = 200_000
NS_PER_US = 1_000


def measure_table(report: Report, seed: int) -> None:
    """Build the table and time look-ups of numbers and of texts."""
    sets = block_sets(BLOCKS, seed)
    start = time.process_time()
    table = BlockTable.build(sets)
    build_s = time.process_time() - start
    texts = client_addresses(LOOKUPS, random.Random(seed), BLOCKS)
    values = [int(IPv4Address(text)) for text in texts]
    start_ns = time.process_time_ns()
    for value in values:
        table.group_of_v4(value)
    number_us = (time.process_time_ns() - start_ns) / LOOKUPS / NS_PER_US
    start_ns = time.process_time_ns()
    for text in texts:
        table.group_of(text)
    text_us = (time.process_time_ns() - start_ns) / LOOKUPS / NS_PER_US
    rows = report.table(
        "Look-up table (targets: under 1 us a number, few MB)",
        ["intervals", "MB", "build s", "us a number", "us a text"],
    )
    size_mb = table.size_bytes() / BYTES_PER_MB
    rows.add(len(table.v4_starts), size_mb, build_s, number_us, text_us)
