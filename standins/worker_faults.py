"""Faults that a simulated worker injects."""

from enum import Enum


class Fault(Enum):
    """Fault that a worker injects into its next requests.

    Attributes
    ----------
    none
        Answers normally.
    error
        Executes the request and answers 500.
    shed
        Answers 503 and declares that the request was not executed.
    reset
        Executes the request and aborts the connection without a response.
    cut
        Aborts the connection in the middle of a stream.
    unsealed
        Omits the header ``Server-Seal``.
    stale
        Sends a response to another request before the right one.
    surplus
        Sends a second response after the right one.
    hang
        Never responds.
    end_early
        Closes the connection after ``cut_bytes`` bytes of the body.
    reset_early
        Aborts the connection there.
    hang_early
        Sends nothing more from there on.
    scripted
        Sends ``script`` in place of a response.
    endless
        Sends ``script``, and then ``endless`` again and again.
    """

    none = 'none'
    error = 'error'
    shed = 'shed'
    reset = 'reset'
    cut = 'cut'
    unsealed = 'unsealed'
    stale = 'stale'
    surplus = 'surplus'
    hang = 'hang'
    end_early = 'end early'
    reset_early = 'reset early'
    hang_early = 'hang early'
    scripted = 'scripted'
    endless = 'endless'
