"""When a box has no processor time left for another request.

Requests that it takes all the same wait for each other: streams stall, answers
that are there are not passed on, and callers leave before they are looked at.  A
refusal takes a small part of what a request does, and other boxes have room.
"""

import random

CLOSING_FROM = 0.5
"""Part of its time from which a box asks callers to leave with each answer.  A
caller takes the connection that is free first, and that of a box that refuses at
once always is: one of 24 boxes got a half of all requests in a flood, and turned
away most of them."""

ROOM_UP_TO = 0.9
"""Part of its time that a box may work and still take every request."""


def should_close(busy: float) -> bool:
    """Tell whether callers are to open their next connection anywhere else."""
    return busy > CLOSING_FROM


def should_admit(busy: float) -> bool:
    """Tell whether a box that works for so much of its time takes a request.

    From ``ROOM_UP_TO`` on by chance, none at all without a pause: so its load
    settles between the two, and does not swing.
    """
    if busy <= ROOM_UP_TO:
        return True
    return random.random() < (1 - busy) / (1 - ROOM_UP_TO)
