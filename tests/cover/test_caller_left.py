"""A router sends no request upstream after its caller has disconnected.

The close of a connection stays in the socket until the event loop polls it, and a
router does not poll between the grant of a slot and the call.  Overloaded entry boxes
of the platform, which detect a close in the same way, forwarded a request 1.5 s after
its caller had disconnected.
"""

from collections.abc import Callable
from types import SimpleNamespace
from typing import Any

import pytest

from hitchdeck_core.backpressure import Backpressure
from hitchdeck_core.ids import AccountName, PoolName, RequestId
from hitchdeck_core.quarantine.quarantine import Quarantine
from hitchdeck_core.resources import Urgency
from hitchdeck_core.signals import Signal
from hitchdeck_router.dispatch.attempts import Progress, run_attempts
from hitchdeck_router.dispatch.requests import AdmittedRequest
from hitchdeck_router.errors import CallerDisconnectedError
from hitchdeck_router.scheduling.client_state import Slot


def admitted_of(has_disconnected: Callable[[], bool]) -> AdmittedRequest:
    return AdmittedRequest(
        request=RequestId('r'),
        account=AccountName('ann'),
        pool=PoolName('chat'),
        urgency=Urgency.normal,
        deadline=0,
        hint=1,
        body=b'',
        has_disconnected=has_disconnected,
    )


def context_of(released: list[bool]) -> Any:
    """Return a router context that grants a slot at once."""

    async def acquire(*_: object) -> object:
        return SimpleNamespace(
            upstream='e0',
            moved_from='',
            release=lambda *, failed: released.append(failed),
        )

    fleet = SimpleNamespace(
        now=float,
        quarantine=Quarantine(float, Signal()),
        lease=SimpleNamespace(is_live=lambda: True),
        view=SimpleNamespace(
            may_dispatch=lambda *_: True,
            upstreams={'e0': SimpleNamespace(name='e0')},
        ),
    )
    return SimpleNamespace(
        backpressure=Backpressure(float),
        budget=SimpleNamespace(earn=list),
        finder=SimpleNamespace(acquire=acquire),
        fleet=fleet,
        histograms=SimpleNamespace(record=lambda *_: None),
    )


@pytest.mark.parametrize('left', [False, True])
async def test_a_granted_request_is_sent_only_while_its_caller_is_connected(
    left: bool,
) -> None:
    sent: list[str] = []
    released: list[bool] = []

    async def run_once(slot: Slot, upstream: object) -> None:
        sent.append(str(slot.upstream))

    run = run_attempts(
        context_of(released),
        admitted_of(lambda: left),
        Progress(),
        run_once,
    )
    if left:
        with pytest.raises(CallerDisconnectedError):
            await run
    else:
        await run
    assert sent == ([] if left else ['e0'])
    assert released == [False]
