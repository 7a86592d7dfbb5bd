"""The quarantine tells the part of a prompt that crashes upstreams from sound ones."""

import asyncio
from typing import NamedTuple

import pytest

from hitchdeck_core.ids import UpstreamIncarnation
from hitchdeck_core.quarantine.crash_history import (
    MAX_CRASH_RECORDS,
    MIN_SIMULTANEOUS_CRASHES,
    CrashRecord,
)
from hitchdeck_core.quarantine.fingerprints import (
    MAX_SHARED_PARTS,
    Fingerprint,
    RequestKeys,
    part_fingerprints,
)
from hitchdeck_core.quarantine.messages import decode_update, encode_update
from hitchdeck_core.quarantine.moments import MOMENT_SECONDS
from hitchdeck_core.quarantine.parts import (
    MAX_ANSWERED_PARTS,
    MAX_PARTS_PER_CRASH,
    PART_QUARANTINE_SECONDS,
    SETTLE_SECONDS,
    AnsweredParts,
)
from hitchdeck_core.quarantine.quarantine import (
    ANSWER_TTL_SECONDS,
    MAX_CRASHES_PER_UPDATE,
    SYNC_START,
    Quarantine,
    QuarantineUpdate,
    SyncPosition,
)
from hitchdeck_core.quarantine.trials import (
    FIRST_TRIAL_SECONDS,
    LATER_TRIAL_SECONDS,
    TRIAL_SPACING_SECONDS,
)
from hitchdeck_core.signals import Signal

LETHAL = 'lethal'


class FakeClock:
    """A clock that the test sets."""

    def __init__(self) -> None:
        self.seconds = 1000.0

    def now(self) -> float:
        return self.seconds


def request(content: str, *parts: str) -> RequestKeys:
    return RequestKeys(Fingerprint(content.encode()), part_fingerprints(parts))


def quarantine_with(clock: FakeClock) -> Quarantine:
    quarantine = Quarantine(clock.now, Signal())
    quarantine.parts.trials.place = 0
    return quarantine


def crash(quarantine: Quarantine, name: str, *in_flight: RequestKeys) -> None:
    quarantine.record_crash(UpstreamIncarnation(name), in_flight)


def is_blamed(quarantine: Quarantine, part: str) -> bool:
    return quarantine.holds_back(request('another', part))


def exchange(first: Quarantine, second: Quarantine) -> None:
    """Send all that each process knows to the other one, as messages."""
    for sender, receiver in ((first, second), (second, first), (first, second)):
        update, _ = sender.update_since(SYNC_START)
        message = encode_update(update, sender.now())
        receiver.merge(decode_update(message, receiver.now()), 'test')


class Blame(NamedTuple):
    """The requests in flight at each crash, and what is blamed for them.

    A request is written as its content and its shared parts.
    """

    crashes: tuple[tuple[str, ...], ...]
    blamed: set[str]
    answered: tuple[str, ...] = ()


@pytest.mark.parametrize(
    'case',
    [
        Blame((('1 F L a',), ('2 F L b',)), set(), ('F',)),
        # At each position but the last, which is not among the shared parts.
        Blame((('1 L a',), ('2 L b',), ('3 L c',)), {'L'}),
        Blame((('1 F L',), ('2 F L',), ('3 F L',)), {'L'}, ('F',)),
        Blame((('1 F A L x',), ('2 F A L y',), ('3 F A L z',)), {'L'}, ('F', 'A')),
        # The route's and the account's part are in flight at more crashes.
        Blame(
            (
                ('1 F A L', '7 F A'),
                ('2 F A L', '8 F A'),
                ('3 F A L',),
                ('9 F A',),
                ('10 F A',),
            ),
            {'L'},
            ('F', 'A'),
        ),
        # Nothing was answered yet: the part that fewer requests share is blamed.
        Blame((('1 F A L',), ('2 F A L',), ('3 F A L',)), {'L'}),
        # Several lethal requests at one upstream are one crash.
        Blame((('1 F L', '2 F L', '3 F L'),), set(), ('F',)),
        Blame((('1 F L', '2 F L'), ('3 F L',), ('4 F L',)), {'L'}, ('F',)),
        # A retried request is charged itself, and not its parts.
        Blame((('1 F L',), ('1 F L',), ('1 F L',)), set(), ('F',)),
        Blame((('1 F L',), ('1 F L',), ('2 F L',)), {'L'}, ('F',)),
        # A sound part in flight beside a lethal one.
        Blame((('1 F L', '5 F S'), ('2 F L', '6 F S'), ('3 F L',)), {'L'}, ('F',)),
        Blame((('1 L',), *((f'{at} L', f's{at} S') for at in range(2, 5))), {'L'}),
        # Answers clear it, whatever was in flight.
        Blame((('1 F S',), ('2 F S',), ('3 F S',)), set(), ('F', 'S')),
    ],
)
def test_the_part_that_explains_the_crashes_is_blamed(case: Blame) -> None:
    clock = FakeClock()
    quarantine = quarantine_with(clock)
    for part in case.answered:
        quarantine.record_answer(request('sound', part))
    for number, in_flight in enumerate(case.crashes):
        clock.seconds += 1
        crash(quarantine, f'e{number}', *(request(*one.split()) for one in in_flight))
    assert {one for one in 'FALS' if is_blamed(quarantine, one)} == case.blamed


def test_requests_are_held_back_until_a_verdict_is_settled() -> None:
    clock = FakeClock()
    quarantine = quarantine_with(clock)
    for number in range(MIN_SIMULTANEOUS_CRASHES):
        crash(quarantine, f'e{number}', request(f'{number}', LETHAL))
    later = request('later', LETHAL)
    assert not quarantine.is_quarantined(later)
    assert quarantine.unsettled_seconds(later) == SETTLE_SECONDS
    clock.seconds += SETTLE_SECONDS
    assert quarantine.is_quarantined(later)
    assert quarantine.unsettled_seconds(later) == 0


async def test_a_request_that_is_held_back_goes_on_with_the_veto() -> None:
    quarantine = quarantine_with(FakeClock())
    for number in range(MIN_SIMULTANEOUS_CRASHES):
        crash(quarantine, f'e{number}', request(f'{number}', 'sound'))
    held = asyncio.create_task(quarantine.wait_until_settled(request('x', 'sound')))
    await asyncio.sleep(0)
    assert not held.done()
    quarantine.record_answer(request('answered', 'sound'))
    # The clock of this test stands still, so that no time limit ends the wait.
    await held


@pytest.mark.parametrize(
    ('gap', 'without', 'held'),
    [
        # Several upstreams fail together, some of them without the part.
        (0, 1, False),
        # All that failed together had it.
        (0, 0, True),
        # One after the other, each beside a crash without it.
        (2 * MOMENT_SECONDS, 1, True),
    ],
)
def test_simultaneous_crashes_without_a_part_speak_for_it(
    gap: float, without: int, held: bool
) -> None:
    clock = FakeClock()
    quarantine = quarantine_with(clock)
    for number in range(MIN_SIMULTANEOUS_CRASHES):
        for other in range(without):
            crash(quarantine, f'o{number}-{other}', request(f'o{number}-{other}'))
        crash(quarantine, f'e{number}', request(f'{number}', LETHAL))
        clock.seconds += gap
    assert is_blamed(quarantine, LETHAL) is held


@pytest.mark.parametrize(
    ('gap', 'same', 'held'),
    [
        # Three upstreams that fail together may have another cause in common.
        (0, False, False),
        (2 * MOMENT_SECONDS, False, True),
        # A request that is retried at once is at one upstream after the other.
        (0, True, True),
    ],
)
def test_three_crashes_are_enough_only_one_after_the_other(
    gap: float, same: bool, held: bool
) -> None:
    clock = FakeClock()
    quarantine = quarantine_with(clock)
    for number in range(3):
        content = 'retried' if same and number < 2 else f'{number}'
        crash(quarantine, f'e{number}', request(content, LETHAL))
        clock.seconds += gap or (MOMENT_SECONDS * 2 if same and number else 0)
    assert is_blamed(quarantine, LETHAL) is held


@pytest.mark.parametrize(('others', 'held'), [(0, True), (1, True), (2, False)])
def test_a_content_is_not_blamed_for_failures_of_several_upstreams(
    others: int, held: bool
) -> None:
    # Guards against a retried content that three waves of crashes happened to hit.
    clock = FakeClock()
    quarantine = quarantine_with(clock)
    for number in range(3):
        for other in range(others):
            crash(quarantine, f'o{number}-{other}', request(f'o{number}-{other}'))
        crash(quarantine, f'e{number}', request('retried'))
        clock.seconds += 4
    assert quarantine.is_quarantined(request('retried')) is held


def test_a_verdict_is_withdrawn_if_the_rest_of_a_failure_is_heard_later() -> None:
    clock = FakeClock()
    hub, box = quarantine_with(clock), quarantine_with(clock)
    for number in range(MIN_SIMULTANEOUS_CRASHES):
        crash(hub, f'e{number}', request(f'{number}', LETHAL))
    exchange(hub, box)
    assert is_blamed(box, LETHAL)
    crash(hub, 'o', request('other'))
    exchange(hub, box)
    assert not is_blamed(hub, LETHAL)
    assert not is_blamed(box, LETHAL)
    # The withdrawn verdict does not protect the part.
    for number in range(2):
        clock.seconds += 2 * MOMENT_SECONDS
        crash(hub, f'later-{number}', request(f'later-{number}', LETHAL))
    assert is_blamed(hub, LETHAL)


def test_a_retried_sound_request_beside_a_lethal_part_is_not_blamed() -> None:
    # Guards against a verdict on a bystander that is retried.
    quarantine = quarantine_with(FakeClock())
    for number in range(MIN_SIMULTANEOUS_CRASHES):
        lethal = request(f'{number}', LETHAL)
        beside = [request('retried')] if number else []
        crash(quarantine, f'e{number}', lethal, *beside)
    assert is_blamed(quarantine, LETHAL)
    assert not quarantine.is_quarantined(request('retried'))


@pytest.mark.parametrize(
    ('complete', 'before', 'held'),
    [
        (False, 0, True),
        (True, 0, False),
        (True, ANSWER_TTL_SECONDS - 1, False),
        (True, ANSWER_TTL_SECONDS + 1, True),
    ],
)
def test_only_a_recent_complete_answer_clears_a_part(
    complete: bool, before: float, held: bool
) -> None:
    clock = FakeClock()
    quarantine = quarantine_with(clock)
    quarantine.record_answer(request('first', LETHAL), complete=complete)
    clock.seconds += before
    for number in range(MIN_SIMULTANEOUS_CRASHES):
        crash(quarantine, f'e{number}', request(f'{number}', LETHAL))
    assert is_blamed(quarantine, LETHAL) is held


def test_a_wrong_verdict_ends_at_the_box_that_knows_better() -> None:
    clock = FakeClock()
    hub, box = quarantine_with(clock), quarantine_with(clock)
    box.record_answer(request('sound', 'F'))
    for number in range(5):
        clock.seconds += 1
        crash(hub, f'e{number}', request(f'{number}', 'F', 'L' if number < 4 else 'x'))
    assert is_blamed(hub, 'F')
    exchange(hub, box)
    assert not is_blamed(hub, 'F')
    assert not is_blamed(box, 'F')
    # What the sound part had explained is charged to the lethal one.
    assert is_blamed(hub, 'L')


@pytest.mark.parametrize(
    ('answers', 'seconds', 'held'),
    [
        (True, FIRST_TRIAL_SECONDS, False),
        (False, FIRST_TRIAL_SECONDS, True),
        (False, FIRST_TRIAL_SECONDS + LATER_TRIAL_SECONDS - 1, True),
    ],
)
def test_one_trial_ends_or_renews_a_quarantine(
    answers: bool, seconds: float, held: bool
) -> None:
    clock = FakeClock()
    quarantine = quarantine_with(clock)
    for number in range(MIN_SIMULTANEOUS_CRASHES):
        crash(quarantine, f'e{number}', request(f'{number}', LETHAL))
    clock.seconds += FIRST_TRIAL_SECONDS - 1
    trial = request('trial', LETHAL)
    assert quarantine.is_quarantined(trial)
    clock.seconds += 1
    assert not quarantine.is_quarantined(trial)
    quarantine.begin_trial(trial)
    assert quarantine.is_quarantined(request('beside', LETHAL))
    if answers:
        quarantine.record_answer(trial)
    else:
        crash(quarantine, 'late', trial)
    clock.seconds += seconds - FIRST_TRIAL_SECONDS
    assert is_blamed(quarantine, LETHAL) is held


def test_boxes_try_a_part_one_after_the_other() -> None:
    clock = FakeClock()
    boxes = [quarantine_with(clock) for _ in range(10)]
    for place, box in enumerate(boxes):
        box.parts.trials.place = place / len(boxes)
        box.parts.trials.box_count = lambda: len(boxes)
        for number in range(MIN_SIMULTANEOUS_CRASHES):
            crash(box, f'e{number}', request(f'{number}', LETHAL))
    clock.seconds += FIRST_TRIAL_SECONDS + TRIAL_SPACING_SECONDS / 2
    assert [is_blamed(one, LETHAL) for one in boxes] == [False] + [True] * 9


def test_a_verdict_on_a_part_expires() -> None:
    clock = FakeClock()
    quarantine = quarantine_with(clock)
    for number in range(MIN_SIMULTANEOUS_CRASHES):
        crash(quarantine, f'e{number}', request(f'{number}', LETHAL))
    clock.seconds += PART_QUARANTINE_SECONDS
    assert not is_blamed(quarantine, LETHAL)


def test_a_flood_of_parts_is_bounded_and_hides_no_lethal_one() -> None:
    quarantine = quarantine_with(FakeClock())
    for number in range(MIN_SIMULTANEOUS_CRASHES):
        flood = [
            request(f'{number} {at}', *(f'{number} {at} {one}' for one in range(100)))
            for at in range(20)
        ]
        crash(quarantine, f'e{number}', *flood, request(f'{number}', LETHAL))
    parts = [one for one in quarantine.own_crashes if one.position]
    assert len(parts) == MIN_SIMULTANEOUS_CRASHES * MAX_PARTS_PER_CRASH
    assert len(quarantine.crashes.order) <= MAX_CRASH_RECORDS
    assert is_blamed(quarantine, LETHAL)
    update, position = quarantine.update_since(SYNC_START)
    assert len(update.crashes) == MAX_CRASHES_PER_UPDATE
    assert position == SyncPosition(MAX_CRASHES_PER_UPDATE, 0, 1)


def test_a_hub_keeps_the_records_of_five_crashes_under_a_flood() -> None:
    clock = FakeClock()
    hub = quarantine_with(clock)
    for crashed in range(5):
        clock.seconds += 1
        for box in range(11):
            flood = [
                CrashRecord(
                    Fingerprint(b'%d-%d-%d' % (crashed, box, number)),
                    UpstreamIncarnation(f'e{crashed}'),
                    Fingerprint(b'%d' % number),
                    position=1,
                )
                for number in range(MAX_PARTS_PER_CRASH)
            ]
            hub.merge(QuarantineUpdate(tuple(flood), ()), 'box')
    assert len(hub.crashes.order) == 5 * 11 * MAX_PARTS_PER_CRASH


def test_parts_that_never_recur_displace_no_others() -> None:
    answered = AnsweredParts(FakeClock().now)
    sound = part_fingerprints(['sound'])[0]
    answered.record(sound)
    answered.record(sound)
    for part in part_fingerprints(map(str, range(MAX_SHARED_PARTS))):
        for number in range(MAX_ANSWERED_PARTS // MAX_SHARED_PARTS + 1):
            answered.record(Fingerprint(part + bytes(number)))
    assert answered.is_recent(sound, 1)
    assert len(answered.once) == MAX_ANSWERED_PARTS


def test_a_box_learns_of_a_verdict_with_its_age() -> None:
    clock = FakeClock()
    hub, box = quarantine_with(clock), quarantine_with(clock)
    for number in range(MIN_SIMULTANEOUS_CRASHES):
        crash(hub, f'e{number}', request(f'{number}', LETHAL))
    clock.seconds += 1
    exchange(hub, box)
    assert is_blamed(box, LETHAL)
    clock.seconds += FIRST_TRIAL_SECONDS - 1
    assert not is_blamed(box, LETHAL)
