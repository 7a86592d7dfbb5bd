"""The log and its storage against a list, with crashes at any write.

A crash keeps all synced data and any prefix of the data written since the last sync.
"""

import asyncio
import random
import shutil
import tempfile
from pathlib import Path

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from hitchdeck_control.storage.log import DurableLog
from hitchdeck_control.storage.records import frame
from hitchdeck_core.wire.hitchdeck_pb2 import Entry, Snapshot


class LogMachine(RuleBasedStateMachine):
    """Appends, overwrites, votes, snapshots, flushes and crashes."""

    def __init__(self) -> None:
        super().__init__()
        self.runner = asyncio.Runner()
        self.folder = Path(tempfile.mkdtemp())
        self.log = DurableLog(self.folder)
        self.model: dict[int, int] = {}
        self.promised: dict[int, int] = {}
        self.vote = (0, '')
        self.promised_vote = (0, '')
        self.term = 1

    @rule(count=st.integers(1, 4), back=st.integers(0, 3))
    def append(self, count: int, back: int) -> None:
        """Append entries, some of which replace earlier ones."""
        base = int(self.log.snapshot.last_index)
        start = max(base + 1, self.log.last_index + 1 - back)
        if back:
            self.term += 1
        entries = [
            Entry(index=start + step, term=self.term, command=bytes(step))
            for step in range(count)
        ]
        self.log.append(entries)
        self.model = {at: term for at, term in self.model.items() if at < start}
        self.model.update({int(one.index): self.term for one in entries})
        self.promised = {at: term for at, term in self.promised.items() if at < start}

    @rule(candidate=st.sampled_from(['a', 'b']))
    def change_vote(self, candidate: str) -> None:
        """Vote in a new term."""
        self.vote = (self.log.term + 1, candidate)
        self.log.save_vote(*self.vote)

    @rule()
    def flush(self) -> None:
        """Flush the log, so that its entries are durable."""
        self.runner.run(self.log.flush())
        self.promised = dict(self.model)
        self.promised_vote = self.vote

    @precondition(lambda self: self.log.last_index > self.log.snapshot.last_index)
    @rule(share=st.floats(0, 1))
    def compact(self, share: float) -> None:
        """Take a snapshot of a synced prefix."""
        base = int(self.log.snapshot.last_index)
        index = base + int(share * (self.log.synced_index - base))
        if index <= base:
            return
        snapshot = Snapshot(last_index=index, last_term=self.log.term_at(index))
        self.runner.run(self.log.compact(snapshot))
        self.promised = dict(self.model)
        self.promised_vote = self.vote

    @rule(seed=st.integers(0, 1_000_000))
    def crash(self, seed: int) -> None:
        """Drop unsynced data except for a random prefix."""
        segment = sorted(self.folder.glob('wal-*.log'))[-1]
        synced = segment.stat().st_size
        unsynced = b''.join(_framed(self.log))
        self.log.close()
        choice = random.Random(seed)
        kept = unsynced[: choice.randint(0, len(unsynced))]
        with segment.open('r+b') as stream:
            stream.seek(synced)
            stream.write(kept)
        self.log = DurableLog(self.folder)
        self._check_recovered()
        self.model = {int(one.index): int(one.term) for one in self.log.entries} | {
            at: term for at, term in self.model.items() if at <= self._base()
        }
        self.vote = (self.log.term, self.log.vote)
        self.promised, self.promised_vote = dict(self.model), self.vote
        self.term = max(self.term, self.log.term) + 1

    @invariant()
    def memory_agrees_with_the_model(self) -> None:
        """The log in memory equals the list."""
        for index in range(self._base() + 1, self.log.last_index + 1):
            assert self.log.term_at(index) == self.model[index]
        assert self.log.synced_index <= self.log.last_index

    def teardown(self) -> None:
        """Remove the temporary folder."""
        self.log.close()
        self.runner.close()
        shutil.rmtree(self.folder)

    def _base(self) -> int:
        return int(self.log.snapshot.last_index)

    def _check_recovered(self) -> None:
        for index, term in self.promised.items():
            if index > self._base() and self.log.term_at(index) != term:
                # Only an overwrite that was in progress may replace the entry.
                assert self.model.get(index) == self.log.term_at(index)
        assert self.log.term >= self.promised_vote[0]


def _framed(log: DurableLog) -> list[bytes]:
    return [frame(record.SerializeToString()) for record in log.pending]


TestLog = LogMachine.TestCase
