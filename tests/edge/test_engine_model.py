"""What placement knows of each engine: its speed, its memory, what fits now."""

import pytest

from hitchdeck_core.ids import UpstreamName
from hitchdeck_edge.model.placing import Choice
from tests.common.scheduling import FakeClock, offer, scheduler_of, wanted

FIRST = UpstreamName('e0')


@pytest.mark.parametrize(('occupied', 'fits'), [(7, True), (8, False)])
def test_a_request_fits_while_a_slot_is_free(occupied: int, fits: bool) -> None:
    # Guards against sending into the queue of an engine what could wait in order.
    scheduler = scheduler_of(FakeClock(), 1)
    offer(scheduler, 100_000)
    for number in range(occupied):
        scheduler.add_open(('box', number), FIRST, 0)
    choice = scheduler.decide(wanted())
    assert isinstance(choice, Choice)
    assert choice.fits is fits
