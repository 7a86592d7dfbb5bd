"""The quarantine tells requests that crash upstreams from bystanders."""

from itertools import count
from typing import NamedTuple

import pytest
from hypothesis import given
from hypothesis import strategies as st

from hitchdeck_core.ids import UpstreamIncarnation
from hitchdeck_core.quarantine.crash_detector import (
    SUSPICION_TTL_SECONDS,
    CrashDetector,
)
from hitchdeck_core.quarantine.crash_history import (
    CRASH_TTL_SECONDS,
    MAX_CRASH_RECORDS,
    CrashHistory,
    CrashRecord,
)
from hitchdeck_core.quarantine.fingerprints import (
    Fingerprint,
    RequestKeys,
    fingerprint_of,
)
from hitchdeck_core.quarantine.messages import decode_update, encode_update
from hitchdeck_core.quarantine.quarantine import (
    ANSWER_TTL_SECONDS,
    SYNC_START,
    Quarantine,
    QuarantineUpdate,
)
from hitchdeck_core.quarantine.verdicts import (
    MAX_VERDICTS,
    QUARANTINE_SECONDS,
    Verdict,
    Verdicts,
    VerdictStatus,
)
from hitchdeck_core.signals import Signal

LETHAL = Fingerprint(b'lethal')
SOUND = Fingerprint(b'sound')
OTHER = Fingerprint(b'other')


class FakeClock:
    """A clock that the test sets."""

    def __init__(self) -> None:
        self.seconds = 1000.0

    def now(self) -> float:
        return self.seconds


def whole(content: Fingerprint) -> RequestKeys:
    return RequestKeys(content)


def quarantine_with(clock: FakeClock) -> Quarantine:
    return Quarantine(clock.now, Signal())


def crash_incarnations(
    quarantine: Quarantine,
    *open_there: tuple[Fingerprint, ...],
    clock: FakeClock | None = None,
) -> None:
    """Let upstreams crash one after the other if a clock is given, else at once."""
    clock = clock or FakeClock()
    for number, there in enumerate(open_there):
        clock.seconds += 1
        in_flight = [whole(one) for one in there]
        quarantine.record_crash(UpstreamIncarnation(f'e{number}'), in_flight)


def verdict_of(number: int, standing: VerdictStatus, since: float = 1000.0) -> Verdict:
    return Verdict(LETHAL, number, standing, since)


class Blame(NamedTuple):
    """The requests in flight at each crash, and those that are blamed."""

    ends: tuple[tuple[Fingerprint, ...], ...]
    blamed: set[Fingerprint]


@pytest.mark.parametrize(
    'case',
    [
        Blame(((LETHAL,), (LETHAL,)), set()),
        Blame(((LETHAL,), (LETHAL,), (LETHAL,)), {LETHAL}),
        Blame(((LETHAL, SOUND), (LETHAL, SOUND), (LETHAL, OTHER)), {LETHAL}),
        # A request in flight beside a lethal one at later crashes is not blamed.
        Blame(((LETHAL,), *(((LETHAL, SOUND),) * 3)), {LETHAL}),
        Blame(((LETHAL,), *(((SOUND, LETHAL),) * 3)), {LETHAL}),
        # Requests that were in flight at the same crashes are indistinguishable.
        Blame(((LETHAL, SOUND),) * 3, {LETHAL, SOUND}),
        # Two lethal requests that share one crash.
        Blame(
            ((LETHAL,), (LETHAL,), (LETHAL, OTHER), (OTHER,), (OTHER,), (OTHER,)),
            {LETHAL, OTHER},
        ),
    ],
)
def test_the_request_in_flight_at_most_crashes_is_blamed(case: Blame) -> None:
    clock = FakeClock()
    quarantine = quarantine_with(clock)
    crash_incarnations(quarantine, *case.ends, clock=clock)
    blamed = {
        one for one in (LETHAL, SOUND, OTHER) if quarantine.is_quarantined(whole(one))
    }
    assert blamed == case.blamed


def test_one_crash_counts_once_however_many_boxes_saw_it() -> None:
    quarantine = quarantine_with(FakeClock())
    for _ in range(5):
        quarantine.record_crash(UpstreamIncarnation('e0'), [whole(LETHAL)])
    assert not quarantine.is_quarantined(whole(LETHAL))


def test_old_crashes_expire() -> None:
    clock = FakeClock()
    quarantine = quarantine_with(clock)
    crash_incarnations(quarantine, (LETHAL,), (LETHAL,))
    clock.seconds += CRASH_TTL_SECONDS + 1
    quarantine.record_crash(UpstreamIncarnation('late'), [whole(LETHAL)])
    assert not quarantine.is_quarantined(whole(LETHAL))


def test_recorded_crashes_are_bounded() -> None:
    crashes = CrashHistory(float)
    for number in range(MAX_CRASH_RECORDS + 100):
        crashes.add(CrashRecord(Fingerprint(b'%d' % number), UpstreamIncarnation('e')))
    assert len(crashes.order) == MAX_CRASH_RECORDS
    assert len(crashes.by_fingerprint) == MAX_CRASH_RECORDS
    assert len(crashes.by_incarnation[UpstreamIncarnation('e')]) == MAX_CRASH_RECORDS


def test_verdicts_are_bounded() -> None:
    verdicts = Verdicts(float)
    for number in range(MAX_VERDICTS + 10):
        verdicts.quarantine(Fingerprint(b'%d' % number))
    assert len(verdicts.known) == len(verdicts.change_numbers) == MAX_VERDICTS


@pytest.mark.parametrize(
    ('seconds', 'held'),
    [(0, True), (QUARANTINE_SECONDS - 1, True), (QUARANTINE_SECONDS, False)],
)
def test_a_quarantine_ends_after_its_time(seconds: float, held: bool) -> None:
    clock = FakeClock()
    quarantine = quarantine_with(clock)
    crash_incarnations(quarantine, (LETHAL,), (LETHAL,), (LETHAL,))
    clock.seconds += seconds
    assert quarantine.is_quarantined(whole(LETHAL)) is held


@pytest.mark.parametrize(
    ('before', 'held'),
    [(0.0, False), (ANSWER_TTL_SECONDS - 1, False), (ANSWER_TTL_SECONDS + 1, True)],
)
def test_a_recent_answer_clears_a_request(before: float, held: bool) -> None:
    clock = FakeClock()
    quarantine = quarantine_with(clock)
    quarantine.record_answer(whole(SOUND))
    clock.seconds += before
    crash_incarnations(quarantine, (SOUND,), (SOUND,), (SOUND,))
    assert quarantine.is_quarantined(whole(SOUND)) is held


def test_an_answer_elsewhere_clears_a_request_for_all() -> None:
    clock = FakeClock()
    hub, box = quarantine_with(clock), quarantine_with(clock)
    crash_incarnations(hub, (SOUND,), (SOUND,), (SOUND,))
    box.record_answer(whole(SOUND))
    news, _ = hub.update_since(SYNC_START)
    box.merge(news, 'hub')
    back, _ = box.update_since(SYNC_START)
    hub.merge(back, 'box')
    assert not box.is_quarantined(whole(SOUND))
    assert not hub.is_quarantined(whole(SOUND))


def test_a_cleared_request_is_not_blamed_for_the_same_crashes_again() -> None:
    clock = FakeClock()
    hub, box = quarantine_with(clock), quarantine_with(clock)
    crash_incarnations(box, (SOUND,), (SOUND,), (SOUND,))
    box.record_answer(whole(SOUND))
    hub.merge(box.update_since(SYNC_START)[0], 'box')
    assert not hub.is_quarantined(whole(SOUND))


def test_a_crash_reported_again_is_not_propagated() -> None:
    hub, box = quarantine_with(FakeClock()), quarantine_with(FakeClock())
    crash_incarnations(box, (LETHAL,), (LETHAL, SOUND))
    news, _ = box.update_since(SYNC_START)
    assert hub.merge(news, 'box') == {'e0', 'e1'}
    assert hub.merge(news, 'box') == set()


def test_only_changes_are_propagated() -> None:
    quarantine = quarantine_with(FakeClock())
    crash_incarnations(quarantine, (LETHAL,), (LETHAL,))
    first, told = quarantine.update_since(SYNC_START)
    quarantine.record_crash(UpstreamIncarnation('third'), [whole(LETHAL)])
    second, told = quarantine.update_since(told)
    third, _ = quarantine.update_since(told)
    assert len(first.crashes) == 2
    assert second.crashes == (CrashRecord(LETHAL, UpstreamIncarnation('third')),)
    assert [one.status for one in second.verdicts] == [VerdictStatus.quarantined]
    assert third == QuarantineUpdate((), ())


@given(
    st.permutations(
        [
            verdict_of(0, VerdictStatus.quarantined),
            verdict_of(1, VerdictStatus.cleared),
            verdict_of(1, VerdictStatus.quarantined),
            verdict_of(2, VerdictStatus.cleared),
            verdict_of(0, VerdictStatus.cleared),
            verdict_of(9, VerdictStatus.quarantined, since=1000 - QUARANTINE_SECONDS),
        ],
    ),
    st.integers(1, 6),
)
def test_verdicts_converge_in_any_order(order: list[Verdict], again: int) -> None:
    verdicts = Verdicts(FakeClock().now)
    heard = order + order[:again]
    for verdict in heard:
        verdicts.merge(verdict)
    assert verdicts.known[LETHAL] == verdict_of(2, VerdictStatus.cleared)


def test_news_comes_through_a_message_with_its_age() -> None:
    quarantine = quarantine_with(FakeClock())
    crash_incarnations(quarantine, (LETHAL, SOUND), (LETHAL,), (LETHAL,))
    news, _ = quarantine.update_since(SYNC_START)
    decoded = decode_update(encode_update(news, 1002.5), 50.0)
    assert decoded.crashes == news.crashes
    assert [one.since for one in decoded.verdicts] == [47.5]


@pytest.mark.parametrize(
    ('parts', 'others'),
    [
        ((b'ab', b'c'), (b'a', b'bc')),
        ((b'a', b''), (b'a',)),
        ((b'a',), (b'b',)),
    ],
)
def test_contents_that_differ_have_other_fingerprints(
    parts: tuple[bytes, ...], others: tuple[bytes, ...]
) -> None:
    assert fingerprint_of(*parts) != fingerprint_of(*others)
    assert fingerprint_of(*parts) == fingerprint_of(*parts)


@pytest.mark.parametrize('reached', [False, True])
async def test_an_upstream_is_probed_once_for_all_broken_responses(
    reached: bool,
) -> None:
    quarantine = quarantine_with(FakeClock())
    ended: list[UpstreamIncarnation] = []
    asked = count()
    crash_detector = CrashDetector(quarantine, ended.append)

    async def reaches() -> bool:
        next(asked)
        return reached

    crash_detector.record_broken_response(
        UpstreamIncarnation('e0'), whole(LETHAL), reaches
    )
    crash_detector.record_broken_response(
        UpstreamIncarnation('e0'), whole(SOUND), reaches
    )
    await crash_detector.tasks.tasks['e0-1']
    assert next(asked) == 1
    assert ended == ([] if reached else ['e0'])
    assert len(quarantine.own_crashes) == (0 if reached else 2)


@pytest.mark.parametrize(
    ('seconds', 'counted'), [(1, True), (SUSPICION_TTL_SECONDS + 1, False)]
)
async def test_an_incarnation_replaced_at_its_address_has_crashed(
    seconds: float, counted: bool
) -> None:
    clock = FakeClock()
    quarantine = quarantine_with(clock)
    crash_detector = CrashDetector(quarantine, str)

    async def reaches() -> bool:
        return True

    crash_detector.record_broken_response(
        UpstreamIncarnation('e0'), whole(LETHAL), reaches
    )
    await crash_detector.tasks.tasks['e0-1']
    clock.seconds += seconds
    crash_detector.confirm_crash(UpstreamIncarnation('e0'))
    assert bool(quarantine.own_crashes) is counted
