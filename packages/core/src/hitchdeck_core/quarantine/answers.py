"""Parts of prompts that upstreams have answered, which clears them."""

from collections import OrderedDict

from hitchdeck_core.clock import Clock
from hitchdeck_core.quarantine.fingerprints import Fingerprint

MAX_ANSWERED_PARTS = 4096
"""Maximum number of parts that were answered once, and of those answered repeatedly."""


class AnsweredParts:
    """Time of the last complete answer to a request with each part.

    Parts that were answered repeatedly are kept apart from the others, so that parts
    that never recur don't displace them.

    Attributes
    ----------
    once, repeatedly
        Times of the last answer, the oldest first.
    """

    def __init__(self, now: Clock) -> None:
        self.now = now
        self.once: OrderedDict[Fingerprint, float] = OrderedDict()
        self.repeatedly: OrderedDict[Fingerprint, float] = OrderedDict()

    def record(self, part: Fingerprint) -> None:
        """Record a complete answer to a request with a part."""
        recurs = part in self.once or part in self.repeatedly
        self.once.pop(part, None)
        self.repeatedly.pop(part, None)
        kept = self.repeatedly if recurs else self.once
        kept[part] = self.now()
        if len(kept) > MAX_ANSWERED_PARTS:
            kept.popitem(last=False)

    def is_recent(self, part: Fingerprint, seconds: float) -> bool:
        """Tell whether a part was answered within some seconds."""
        answered = self.repeatedly.get(part) or self.once.get(part)
        return answered is not None and self.now() - answered < seconds
