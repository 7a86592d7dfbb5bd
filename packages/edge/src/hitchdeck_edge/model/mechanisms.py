"""Switches for the mechanisms of placement and admission."""

from dataclasses import fields

from hitchdeck_core.checks import check_boolean
from hitchdeck_core.lazy_dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Mechanisms:
    """The ``[mechanisms]`` table; each can be turned off to measure its effect.

    Attributes
    ----------
    scheduler
        One hub places requests for all boxes; otherwise each box places its own.
    shares
        Accounts beyond their fair share get shorter queueing limits.
    yielding
        These limits are shorter for requests that cost an engine much work.
    prefix_memory
        Prompts are sent to engines that are expected to have their prefix cached.
    reading_again
        Reading a shared prompt part again costs more than its time.
    another_engine
        A request that would be refused is sent to an engine in another failure domain,
        or to one that must read a cached part again.
    places
        The expected wait includes the time until an engine slot is free.
    cache_moves
        Engines take cached prompt parts from each other, if the document allows it.
    engine_model
        Speed and memory are learned for each engine, if the settings call for it.
    slowness
        Engines with late first tokens cost more.
    ejection
        Failing upstreams are not used for some time.
    waiting
        Requests wait at the scheduler where the settings allow it.
    near_first
        Upstreams in the box's own failure domain are preferred.
    box_resources
        Boxes heed the limits that their settings state.
    stream_reuse
        Streams that are not resumed may use kept connections, if the settings say so.
    """

    scheduler: bool = True
    shares: bool = True
    yielding: bool = True
    prefix_memory: bool = True
    reading_again: bool = True
    another_engine: bool = True
    places: bool = True
    cache_moves: bool = True
    engine_model: bool = True
    slowness: bool = True
    ejection: bool = True
    waiting: bool = True
    near_first: bool = True
    box_resources: bool = True
    stream_reuse: bool = True

    def __post_init__(self) -> None:
        """Check that each switch is a boolean."""
        for one in fields(self):
            check_boolean(getattr(self, one.name))


ALL_MECHANISMS = Mechanisms()
"""All mechanisms turned on."""
