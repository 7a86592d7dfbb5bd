"""Which of the mechanisms that decide are at work."""

from dataclasses import dataclass, fields

from hitchdeck_core.checks import check_flag


@dataclass(frozen=True, slots=True)
class Mechanisms:
    """The ``[mechanisms]`` table: each may be switched off to see its worth.

    Attributes
    ----------
    scheduler
        One hub places for all boxes; else each box places by itself.
    shares
        Requests of accounts beyond their share give way.
    yielding
        They give way the sooner, the more an engine must read for them.
    prefix_memory
        What engines have cached is remembered, and prompts go there.
    reading_again
        To read a shared part once more weighs more than the time it takes.
    another_engine
        Requests go to another engine, of another domain or that reads again what is
        cached, rather than be refused.
    places
        The expected wait counts the places that are taken.
    slowness
        Engines that answer late count as slower.
    ejection
        Upstreams that fail are passed over for a while.
    near_first
        Upstreams in the box's own failure domain are preferred.
    """

    scheduler: bool = True
    shares: bool = True
    yielding: bool = True
    prefix_memory: bool = True
    reading_again: bool = True
    another_engine: bool = True
    places: bool = True
    slowness: bool = True
    ejection: bool = True
    near_first: bool = True

    def __post_init__(self) -> None:
        """Refuse a mechanism that is neither on nor off."""
        for one in fields(self):
            check_flag(getattr(self, one.name))


ALL_MECHANISMS = Mechanisms()
"""Every mechanism at work."""
