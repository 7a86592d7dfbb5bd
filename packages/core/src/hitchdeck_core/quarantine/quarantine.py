"""Contents under which upstreams end: what speaks against each, what is decided.

An upstream that ends takes what was open there along, and whatever ended it comes
again: under another id, at another box, and to another upstream if nobody knows.
Every process that sends to upstreams has a ``Quarantine``, and so has whoever hears
of all of them; each decides by what it heard, and what one has decided binds all.
"""

from collections import OrderedDict, deque
from collections.abc import Collection
from dataclasses import dataclass

from hitchdeck_core import logs
from hitchdeck_core.clock import Clock
from hitchdeck_core.ids import UpstreamIncarnation
from hitchdeck_core.quarantine.casualties import (
    MOST_REMEMBERED,
    Casualties,
    Casualty,
)
from hitchdeck_core.quarantine.fingerprints import Fingerprint
from hitchdeck_core.quarantine.verdicts import Standing, Verdict, Verdicts
from hitchdeck_core.signals import Signal

HERE = 'this process'
"""Origin of what a process decided by itself."""

ANSWERED_SECONDS = 60.0
"""How long an answer speaks for its content.  Many callers may ask for the same, and
a wave of crashes at four upstreams meets such a content at three at once."""

MOST_ANSWERED = 8192
"""Contents answered of late: two minutes of a box with 70 requests a second."""


@dataclass(frozen=True, slots=True)
class News:
    """What one process tells another: ends that it saw, and verdicts."""

    casualties: tuple[Casualty, ...]
    verdicts: tuple[Verdict, ...]


@dataclass(frozen=True, slots=True)
class Told:
    """How much of a process's news another one has."""

    casualties: int = 0
    verdicts: int = 0


NOTHING = Told()
NO_NEWS = News((), ())


class Quarantine:
    """Keeps contents away from upstreams under which enough of them ended.

    Attributes
    ----------
    changed
        Notified with each news.
    seen
        Ends that this process saw itself, the newest last; ``seen_before`` counts
        those that were dropped from it.
    answered
        When each content was answered last, the oldest first.
    """

    def __init__(self, now: Clock, changed: Signal) -> None:
        self.now = now
        self.changed = changed
        self.casualties = Casualties(now)
        self.verdicts = Verdicts(now)
        self.seen: deque[Casualty] = deque()
        self.seen_before = 0
        self.answered: OrderedDict[Fingerprint, float] = OrderedDict()

    def holds(self, content: Fingerprint) -> bool:
        """Tell whether a content is to be kept away from upstreams."""
        return self.verdicts.holds(content)

    def note_end(
        self, life: UpstreamIncarnation, there: Collection[Fingerprint]
    ) -> None:
        """Note that an upstream ended under what was open there."""
        logs.warning(
            'upstream ended',
            upstream=life,
            contents=[one.hex() for one in there],
        )
        casualties = [Casualty(content, life) for content in there]
        self.seen.extend(casualties)
        self._count(casualties)
        while len(self.seen) > MOST_REMEMBERED:
            self.seen.popleft()
            self.seen_before += 1
        self.changed.notify()

    def note_answer(self, content: Fingerprint) -> None:
        """Note that an upstream answered a content, and lives."""
        self.answered.pop(content, None)
        self.answered[content] = self.now()
        if len(self.answered) > MOST_ANSWERED:
            self.answered.popitem(last=False)
        self._clear(content)

    def take(self, news: News, origin: str) -> set[UpstreamIncarnation]:
        """Take what another process tells; return the lives whose end is news."""
        for verdict in news.verdicts:
            self._take_verdict(verdict, origin)
        return {one.life for one in self._count(news.casualties)}

    def news_since(self, told: Told) -> tuple[News, Told]:
        """Return what another process lacks, and what it has then.

        Every frame between processes asks, and hardly ever is there anything.
        """
        if told.verdicts == self.verdicts.changes:
            if told.casualties == self.seen_before + len(self.seen):
                return NO_NEWS, told
        start = max(0, told.casualties - self.seen_before)
        seen = len(self.seen)
        fresh = (self.seen[place] for place in range(start, seen))
        casualties = tuple(one for one in fresh if self.casualties.has(one))
        verdicts = tuple(self.verdicts.changed_since(told.verdicts))
        now_told = Told(self.seen_before + seen, self.verdicts.changes)
        return News(casualties, verdicts), now_told

    def _count(self, casualties: Collection[Casualty]) -> list[Casualty]:
        """Take ends, all of them before any content is judged by them."""
        fresh = [one for one in casualties if self.casualties.add(one)]
        named = {one.content for one in fresh}
        for content in named:
            self._judge(content)
        return fresh

    def _judge(self, content: Fingerprint) -> None:
        if self.holds(content):
            return
        if self.casualties.blames(content) and self.verdicts.quarantine(content):
            lives = sorted(self.casualties.by_content[content])
            logs.warning('content quarantined', content=content.hex(), ended=lives)
            self._settle(content)

    def _take_verdict(self, verdict: Verdict, origin: str) -> None:
        if not self.verdicts.merge(verdict):
            return
        logs.info(
            'verdict taken',
            content=verdict.content.hex(),
            standing=verdict.standing.name,
            round=verdict.number,
            origin=origin,
        )
        if verdict.standing is Standing.cleared:
            self.casualties.forget(verdict.content)
        self._settle(verdict.content)

    def _settle(self, content: Fingerprint) -> None:
        """Speak for a content that was answered of late; pass the verdict on."""
        answered = self.answered.get(content)
        if answered is not None and self.now() - answered < ANSWERED_SECONDS:
            self._clear(content)
        self.changed.notify()

    def _clear(self, content: Fingerprint) -> None:
        if self.verdicts.clear(content):
            self.casualties.forget(content)
            logs.warning('content cleared', content=content.hex())
            self.changed.notify()
