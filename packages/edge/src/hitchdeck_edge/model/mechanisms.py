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
    prediction_review
        Waiting requests that can't begin in time any more are refused at once.
    predicted_retry
        Callers that are refused are told when their requests can be served.
    even_sizes
        Where requests may wait, those of accounts beyond their share get the same
        queueing limits whatever their size, and ``yielding`` does not apply.
    late_retries
        Retries of refused requests may be late, rather than refused again.
    goal_first
        A request that would be late at the engine with the lowest cost goes to one that
        makes its first token in time.
    near_first
        Upstreams in the box's own failure domain are preferred.
    box_resources
        Boxes heed the limits that their settings state.
    stream_reuse
        Streams that are not resumed may use kept connections, if the settings say so.
    agreed_exclusions
        Schedulers that many boxes lost are excluded by all, if the settings say so.
    shared_view
        Hubs that schedule at the same time share their view, if the settings say so.
    service_health
        Boxes share what they observe of plain services, if the settings say so.
    second_attempts
        Calls that may repeat get a second attempt before a silent first one ends, where
        boxes share what they observe.
    service_waits
        Calls wait at their box while all places of a plain service are taken, where
        boxes share what they observe.
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
    prediction_review: bool = True
    predicted_retry: bool = True
    even_sizes: bool = True
    late_retries: bool = True
    goal_first: bool = True
    near_first: bool = True
    box_resources: bool = True
    stream_reuse: bool = True
    agreed_exclusions: bool = True
    shared_view: bool = True
    service_health: bool = True
    second_attempts: bool = True
    service_waits: bool = True

    def __post_init__(self) -> None:
        """Check that each switch is a boolean."""
        for one in fields(self):
            check_boolean(getattr(self, one.name))


ALL_MECHANISMS = Mechanisms()
"""All mechanisms turned on."""
