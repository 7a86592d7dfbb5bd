"""Unit tests of retries, events, known hubs, shutdown, settings and logs."""

import json
import os
from pathlib import Path

import pytest

from hitchdeck_core.errors import SettingsError
from hitchdeck_core.event_streams import EventSplitter
from hitchdeck_core.ids import Address, BoxName, UpstreamName
from hitchdeck_core.log_output import BURST_LINES, MAX_BUFFERED_BYTES, BoundedOutput
from hitchdeck_edge.dispatch.budget import SAFETY_FACTOR, RetryBudget
from hitchdeck_edge.dispatch.responses import end_to_end_headers
from hitchdeck_edge.links.known_hubs import LEARNED_HUB_TTL_SECONDS, KnownHubs
from hitchdeck_edge.links.placing import PlacingLink
from hitchdeck_edge.model.document import RouteName
from hitchdeck_edge.serving.graceful_stop import GracefulStop
from hitchdeck_edge.serving.metrics import (
    DEFAULT_DURATION_SECONDS,
    MIN_OBSERVED_SECONDS,
    EntryMetrics,
)
from hitchdeck_platform.settings import read_settings
from tests.common.scheduling import POOL, FakeClock, scheduler_of


def test_retries_stay_within_the_fleet_budget() -> None:
    clock = FakeClock()
    budget = RetryBudget(0.2, 50, 10, clock)
    budget.boxes = 10
    for _ in range(100):
        budget.count_request(POOL)
    taken = sum(budget.try_spend(POOL) for _ in range(100))
    assert taken == int((0.2 * 100 + 50 / 10) * SAFETY_FACTOR)
    clock.seconds += 11
    assert budget.try_spend(POOL)


@pytest.mark.parametrize(
    'pieces',
    [
        [b'id: 1\ndata: a\n\nid: 2\ndata: b\n\n'],
        [b'id: 1\ndata: a\n', b'\nid: 2\nda', b'ta: b\n\n'],
        [b'id: 1\r\ndata: a\r\n\r', b'\nid: 2\r\ndata: b\r\n\r\n'],
    ],
)
def test_only_whole_events_are_forwarded(pieces: list[bytes]) -> None:
    splitter = EventSplitter()
    passed = b''.join(splitter.feed(piece) for piece in pieces)
    assert passed == b''.join(pieces)
    assert splitter.last_id == '2'
    assert splitter.feed(b'id: 3\ndata: c\n') == b''
    assert splitter.last_id == '2'


def test_hop_by_hop_headers_are_not_forwarded() -> None:
    headers = [
        (b'Connection', b'close, X-Hop'),
        (b'X-Hop', b'1'),
        (b'Keep-Alive', b'timeout=5'),
        (b'Transfer-Encoding', b'chunked'),
        (b'Server-Seal', b'kept'),
    ]
    assert end_to_end_headers(headers) == [(b'Server-Seal', b'kept')]


@pytest.mark.parametrize(
    ('passed', 'longest', 'streams', 'refused'),
    [
        (0.1, 0.2, False, False),
        (0.1, 5.0, True, False),
        (0.1, 6.0, True, True),
        (2.0, 4.5, True, True),
        # Guards against accepting these and then cutting them within the grace period.
        (3.7, 1.0, True, True),
        (5.2, 0.5, True, True),
        (5.2, 0.5, False, False),
        (6.5, 0.5, False, True),
    ],
)
def test_a_stopping_box_takes_only_what_ends_in_time(
    passed: float,
    longest: float,
    streams: bool,
    refused: bool,
) -> None:
    clock = FakeClock()
    graceful_stop = GracefulStop(8, clock)
    assert not graceful_stop.should_refuse(100, streams=streams)
    graceful_stop.begin()
    clock.seconds += passed
    assert graceful_stop.should_refuse(longest, streams=streams) is refused


def test_one_long_request_is_remembered_over_many_short_ones() -> None:
    clock = FakeClock()
    metrics = EntryMetrics(clock)
    route = RouteName('r')
    assert metrics.longest_seconds(route) == DEFAULT_DURATION_SECONDS
    metrics.record_admitted(route)
    clock.seconds += MIN_OBSERVED_SECONDS + 1
    for seconds in (6, *[0.1] * 100):
        metrics.record_duration(route, seconds)
    assert 4 < metrics.longest_seconds(route) < DEFAULT_DURATION_SECONDS


@pytest.mark.parametrize(
    ('watched', 'finished', 'longest'),
    [
        (1.1, 0.4, DEFAULT_DURATION_SECONDS),
        (1.1, 6.0, 6.0),
        (9, 0.4, 5.0),
        (11, 0.4, 0.4),
    ],
)
def test_early_durations_do_not_predict_those_of_a_new_route(
    watched: float, finished: float, longest: float
) -> None:
    """Only short requests have completed when a route has been used for a second.

    Guards against estimating durations from these.  A box that was stopped 1.0 s after
    its first requests accepted streams for 1.2 s more on that estimate; two of them,
    received at 2.21 s, lasted longer than its grace period and were cut at 8.67 s
    (``stopped``, then ``caller gone`` after 6.452 s).
    """
    clock = FakeClock()
    metrics = EntryMetrics(clock)
    route = RouteName('r')
    metrics.record_admitted(route)
    clock.seconds += watched
    metrics.record_duration(route, finished)
    assert metrics.longest_seconds(route) == longest


def test_a_slow_log_reader_loses_lines_and_never_blocks() -> None:
    reader, writer = os.pipe()
    output = BoundedOutput(writer, FakeClock())
    line = f'{json.dumps({"event": "x" * 500})}\n'
    for _ in range(BURST_LINES + 100):
        output.write(line)
        output.flush()
    assert len(output.buffer) <= MAX_BUFFERED_BYTES + len(line)
    assert output.dropped > 0
    os.close(reader)
    output.flush()
    assert not output.buffer
    os.close(writer)


def test_hubs_that_are_no_longer_listed_are_not_tried() -> None:
    clock = FakeClock()
    known_hubs = KnownHubs(BoxName('box'), 'a', [Address('s:1')], clock)
    known_hubs.add_learned([Address('h:1')])
    assert known_hubs.addresses() == ['h:1', 's:1']
    clock.seconds += LEARNED_HUB_TTL_SECONDS + 1
    known_hubs.add_learned([])
    assert known_hubs.addresses() == ['s:1']


def test_counts_of_requests_do_not_grow_with_time() -> None:
    clock = FakeClock()
    budget = RetryBudget(0.2, 50, 10, clock)
    for _ in range(500):
        clock.seconds += 1
        budget.count_request(POOL)
    assert len(budget.requests[POOL]) <= 11


def test_nothing_is_queued_without_a_scheduler() -> None:
    scheduler = scheduler_of(FakeClock(), 1)
    known_hubs = KnownHubs(BoxName('box'), 'a', [], FakeClock())
    registry = scheduler.placement.registry
    link = PlacingLink('box', known_hubs, registry, 'token', scheduler.shares)
    for _ in range(50):
        ticket = link.track(0, UpstreamName('e0'), 10)
        link.record_start(ticket)
        link.report_failure(UpstreamName('e0'))
        link.record_end(ticket)
    assert not link.outbox.frame.ByteSize()
    assert not link.open


def test_an_excluded_hub_schedules_again_after_a_loss_of_all_hubs() -> None:
    """Boxes agree on one scheduler soon after a power loss of all hubs.

    Guards against unequal shares of accounts: boxes that had lost the same hub twice
    excluded it for 8 s, the others did not, and two schedulers each admitted requests
    for the whole capacity.
    """
    clock = FakeClock()
    seeds = [Address('h1:1'), Address('h2:1')]
    known_hubs = KnownHubs(BoxName('box'), 'a', seeds, clock)
    for address in seeds:
        known_hubs.mark_reachable(address)
    first = known_hubs.scheduler()
    assert first is not None
    for _ in range(2):
        known_hubs.exclude_scheduler(first)
        clock.seconds += 0.5
    assert known_hubs.scheduler() != first
    known_hubs.mark_unreachable(first)
    known_hubs.mark_reachable(first)
    assert known_hubs.scheduler() == first


SETTINGS = """
nodeName = "n1"
serves = ["front", "control", "directory"]
ip = "10.0.0.1"
zone = "a"
portRange = [7400, 7415]
seeds = ["10.0.0.1:8785", "10.0.0.2:8785"]
firstStart = true
dataDir = "/data/x"
heartbeatMs = 1200
unknown = 1
[listen]
front = "10.0.0.1:1"
ready = "10.0.0.1:2"
control = "10.0.0.1:3"
directory = "10.0.0.1:4"
[faultTolerance]
machines = 2
[bounds]
graceS = 8
ttl_max_s = 5
quotaWindowS = 4
retryBudgetRatio = 0.2
retryExtra = 58
budgetWindowS = 10
"""


def test_settings_name_hubs_by_their_own_port(tmp_path: Path) -> None:
    path = tmp_path / 'boot.toml'
    path.write_text(SETTINGS)
    settings = read_settings(path)
    assert settings.entry is not None
    assert settings.hub is not None
    assert settings.entry.seeds == ('10.0.0.1:7400', '10.0.0.2:7400')
    assert settings.hub.listen == '10.0.0.1:7400'
    assert settings.hub.disks_lost == 2


@pytest.mark.parametrize(
    'change',
    [
        ('seeds', 'sids'),
        ('graceS = 8', 'graceS = "x"'),
        ('[listen]', '[listen'),
        ('front = "10.0.0.1:1"', 'front = "nowhere"'),
    ],
)
def test_wrong_settings_end_in_one_clear_error(
    tmp_path: Path,
    change: tuple[str, str],
) -> None:
    path = tmp_path / 'boot.toml'
    path.write_text(SETTINGS.replace(*change))
    with pytest.raises(SettingsError, match=r'boot\.toml'):
        read_settings(path)
