"""One play: callers on paper, the real scheduler, engines on paper."""

from dataclasses import replace
from functools import partial
from random import Random

from bench.lab.arrivals import Asked, draw_arrivals
from bench.lab.deployment import Deployment, Fault, FaultKind, Stalls
from bench.lab.engine import MEGABIT_BYTES, MS, Engine, Run
from bench.lab.judge import Verdict, judge
from bench.lab.timeline import Timeline
from bench.owed import SHARE_WINDOW
from hitchdeck_core.ids import (
    Address,
    InstanceName,
    PoolName,
    RequestId,
    UpstreamName,
)
from hitchdeck_core.signals import Signal
from hitchdeck_edge.errors import DocumentError
from hitchdeck_edge.model import document as document_types
from hitchdeck_edge.model.calls import Part, PartId, Prompt
from hitchdeck_edge.model.document import (
    CacheLink,
    Document,
    Limits,
    Pool,
)
from hitchdeck_edge.model.mechanisms import ALL_MECHANISMS, Mechanisms
from hitchdeck_edge.model.placing import (
    Choice,
    PlacementDecision,
    PlacementQuery,
)
from hitchdeck_edge.model.refusals import Refusal, Refused
from hitchdeck_edge.model.upstreams import Phase, Upstream
from hitchdeck_edge.scheduling.retry_times import RetryTimes, usable_seconds
from hitchdeck_edge.scheduling.scheduler import BoxTicket, Scheduler
from hitchdeck_edge.scheduling.shares import Shares
from hitchdeck_edge.scheduling.waiting import REVIEW_SECONDS, WaitingQueue
from hitchdeck_edge.state.documents import Documents
from hitchdeck_edge.state.registry import Registry

POOL = PoolName('engines')
DOMAIN = 'a'
ASK_SECONDS = 0.008
"""From a caller to the scheduler: link, parsing and one round of messages."""

SEND_SECONDS = 0.004
"""From the box to the engine, and as much back."""

MOST_TRIES = 2
"""A caller comes back once after a refusal."""

AGAIN_CHARGE = 0.3
"""Part of its worth that a request costs which came back and is refused again."""

ROOM_CHARGE = 0.5
"""Part of its worth that a refusal costs while engines have room."""

PATIENT_PART = 3
"""A caller waits at most this part of its time left before it comes back."""


class Play:
    """The state of one play."""

    def __init__(
        self,
        deployment: Deployment,
        seed: str,
        mechanisms: Mechanisms = ALL_MECHANISMS,
    ) -> None:
        self.deployment = deployment
        self.mechanisms = mechanisms
        self.timeline = Timeline()
        self.random = Random(f'{seed} arrivals')
        self.engines: dict[UpstreamName, Engine] = {}
        self.last_use: dict[str, float] = {}
        self.again = 0.0
        self.moved = 0
        self.numbers = 0
        self.down_until = 0.0
        self.registry = Registry(self.now, Signal())
        self.scheduler = self._new_scheduler()
        self.queue = self._new_queue()
        self.held: dict[BoxTicket, tuple[Asked, frozenset[UpstreamName]]] = {}

    def now(self) -> float:
        """Return virtual time; the scheduler's clock starts late."""
        return self.timeline.now + 1000

    def run(self) -> Verdict:
        """Play it to its end."""
        for _ in range(self.deployment.engines):
            self._add_engine()
        asked = draw_arrivals(self.deployment, self.random)
        for one in asked:
            self.timeline.after(one.at, partial(self._come, one))
        for fault in self.deployment.faults:
            self.timeline.after(fault.at, partial(self._strike, fault))
        if self.deployment.stalls is not None:
            self._enter_stalls(self.deployment.stalls)
        self.timeline.play()
        verdict = judge(self.deployment, asked, self.again)
        return replace(verdict, tokens_moved=self.moved)

    def _new_scheduler(self) -> Scheduler:
        documents = Documents(_unread, Signal())
        sheet = self.deployment.sheet
        link = CacheLink(sheet.token_bytes, sheet.link_mbps * MEGABIT_BYTES)
        engine = document_types.Engine(
            sheet.places, sheet.memory, link if sheet.link_mbps else None
        )
        documents.document = Document(
            version=document_types.DocumentVersion(1),
            routes=(),
            pools={POOL: Pool(POOL, 0, engine)},
            limits=Limits(0, 0, 0, 0, self.deployment.capacity),
            accounts=(),
        )
        shares = Shares(SHARE_WINDOW, self.now)
        scheduler = Scheduler(
            documents, self.registry, shares, self.now, self.mechanisms
        )
        scheduler.placement.learn_engines()
        return scheduler

    def _new_queue(self) -> WaitingQueue:
        return WaitingQueue(
            self.scheduler,
            self.scheduler.attempt_place,
            self.now,
            retry_times=RetryTimes(self.scheduler.shares, self.now),
        )

    def _add_engine(self) -> None:
        self.numbers += 1
        name = UpstreamName(f'engine-{self.numbers}')
        slower = self.deployment.slower
        sheet = self.deployment.sheet.slower(slower[self.numbers % len(slower)])
        self.engines[name] = Engine(
            sheet, self.timeline, self._note_read, self._note_moved
        )
        places = self.deployment.sheet.places
        record = Upstream(name, POOL, Address(name), DOMAIN, places, Phase.serving, 1)
        self.registry.merge(record, 'play')

    def _note_read(self, part: str, tokens: int) -> None:
        now = self.timeline.now
        last = self.last_use.get(part)
        if last is not None and now - last < self.deployment.again_seconds:
            self.again += tokens
        self.last_use[part] = now

    def _note_moved(self, part: str, tokens: int) -> None:
        self.last_use[part] = self.timeline.now
        self.moved += tokens

    def _come(self, one: Asked) -> None:
        one.tries += 1
        self.timeline.after(ASK_SECONDS, lambda: self._place(one, frozenset()))

    def _place(self, one: Asked, tried: frozenset[UpstreamName]) -> None:
        if self.timeline.now < self.down_until:
            self._refuse(one, Refusal.no_document.value.retry_after)
            return
        self.numbers += 1
        key = ('box', self.numbers)
        decision = self.queue.place(key, self._wanted(one, tried))
        if decision is None:
            if not self.held:
                self.timeline.after(REVIEW_SECONDS, self._review)
            self.held[key] = (one, tried)
            one.held -= self.timeline.now
        else:
            self._follow(one, tried, key, decision)

    def _review(self) -> None:
        for key, decision in self.queue.review():
            one, tried = self.held.pop(key)
            one.held += self.timeline.now
            self._follow(one, tried, key, decision)
        if self.held:
            self.timeline.after(REVIEW_SECONDS, self._review)

    def _follow(
        self,
        one: Asked,
        tried: frozenset[UpstreamName],
        key: BoxTicket,
        decision: PlacementDecision,
    ) -> None:
        if isinstance(decision, Refused):
            left = one.at + one.kind.limit - self.timeline.now
            part = self.random.random()
            self._refuse(one, usable_seconds(decision.retry_after, left, part))
            return
        if isinstance(decision, Refusal):
            self._refuse(one, decision.value.retry_after)
            return
        engine = self.engines[decision.upstream.name]
        if not engine.alive:
            self.scheduler.end(key)
            self.scheduler.placement.health.record_failure(
                decision.upstream.name, 'dead'
            )
            self._place(one, tried | {decision.upstream.name})
            return
        run = self._run_of(one, key, decision)
        source = decision.source
        donor = self.engines[source.name] if source else None
        self.timeline.after(SEND_SECONDS, partial(engine.submit, run, donor))

    def _run_of(self, one: Asked, key: tuple[str, int], choice: Choice) -> Run:
        scheduler = self.scheduler
        delay = self.deployment.sheet.first_delay * MS

        def on_first() -> None:
            one.first = self.timeline.now + delay + SEND_SECONDS - one.at
            for part, _ in one.parts:
                self.last_use[part] = self.timeline.now
            if delay:
                self.timeline.after(delay, partial(scheduler.start, key))
            else:
                scheduler.start(key)

        def on_end(run: Run) -> None:
            scheduler.end(key)
            in_time = one.first <= one.kind.goal and not run.paused
            one.earned = one.worth if in_time else one.late_worth
            one.outcome = 'served' if in_time else 'late'

        def on_lost() -> None:
            scheduler.end(key)
            scheduler.placement.health.record_failure(choice.upstream.name, 'lost')
            one.outcome = 'failed'

        return Run(
            one.parts,
            one.made,
            one.kind.gap_goal,
            on_first,
            on_end,
            on_lost,
        )

    def _refuse(self, one: Asked, retry_after: float) -> None:
        left = one.at + one.kind.limit - self.timeline.now
        one.outcome = 'refused'
        if one.tries > 1:
            one.charges += AGAIN_CHARGE
        if self._has_room():
            one.charges += ROOM_CHARGE
        if one.tries < MOST_TRIES and left > 0:
            wait = min(retry_after, left / PATIENT_PART)
            self.timeline.after(wait, lambda: self._come(one))

    def _has_room(self) -> bool:
        """Tell whether under half of the places are taken, and nothing waits there."""
        alive = [engine for engine in self.engines.values() if engine.alive]
        places = len(alive) * self.deployment.sheet.places
        running = sum(len(engine.runs) for engine in alive)
        waiting = any(engine.waiting for engine in alive)
        return not waiting and running < places / 2

    def _wanted(self, one: Asked, tried: frozenset[UpstreamName]) -> PlacementQuery:
        parts = tuple(Part(PartId(part), tokens) for part, tokens in one.parts)
        return PlacementQuery(
            request=RequestId(''),
            pool=POOL,
            domain=DOMAIN,
            slots=self.deployment.sheet.places,
            goal=one.kind.goal,
            account=one.account,
            prompt=Prompt(one.read, one.expected_made, parts),
            tried=tried,
            resumes=bool(tried),
            longest_wait=self._longest_wait(one),
        )

    def _longest_wait(self, one: Asked) -> float:
        if not self.mechanisms.waiting:
            return 0
        return one.kind.goal * self.deployment.waits

    def _strike(self, fault: Fault) -> None:
        if fault.kind is FaultKind.crash:
            self._crash(fault)
        else:
            self._restart(fault)

    def _enter_stalls(self, stalls: Stalls) -> None:
        for engine in self.engines.values():
            at = self.random.expovariate(1 / stalls.every)
            while at < self.deployment.seconds:
                self.timeline.after(at, partial(self._stall, engine, stalls))
                at += stalls.lasts + self.random.expovariate(1 / stalls.every)

    def _stall(self, engine: Engine, stalls: Stalls) -> None:
        usual = engine.sheet
        engine.sheet = usual.slower(stalls.factor)

        def recover() -> None:
            engine.sheet = usual

        self.timeline.after(stalls.lasts, recover)

    def _crash(self, fault: Fault) -> None:
        alive = [name for name, engine in self.engines.items() if engine.alive]
        for name in self.random.sample(alive, fault.count):
            self.engines[name].crash()
            self.timeline.after(fault.lasts, self._add_engine)
            self.timeline.after(fault.lasts, partial(self._end, name))

    def _end(self, name: UpstreamName) -> None:
        self.registry.end(InstanceName(name), 'play')

    def _restart(self, fault: Fault) -> None:
        self.down_until = self.timeline.now + fault.lasts
        for engine in self.engines.values():
            engine.drop_all()
        self.scheduler = self._new_scheduler()
        self.queue = self._new_queue()
        for one, _ in self.held.values():
            one.outcome = 'failed'
        self.held.clear()


def _unread(text: bytes) -> Document:
    raise DocumentError(f'no document is read in a play ({len(text)} bytes)')
