"""Mutation check: disable one mechanism at a time and expect its test to fail.

For each mechanism, one place of a scratch copy of the tree is changed and the
test that covers the mechanism is run there.  A test that still passes does not
cover the mechanism; the script reports it and exits with 1.

``.venv/bin/python tools/switch_off.py [word]`` checks only the mechanisms
whose name contains the word.
"""

import os
import shutil
import subprocess
import sys
import tempfile
from dataclasses import dataclass
from pathlib import Path

_ROOT = Path(__file__).parent.parent
_CONTROL = 'packages/control/src/hitchdeck_control'
_EDGE = 'packages/edge/src/hitchdeck_edge'
_ROUTER = 'packages/router/src/hitchdeck_router'
_TEST_SECONDS = 120


@dataclass(frozen=True)
class Mechanism:
    """A mechanism, the change that disables it, and the test that must fail."""

    name: str
    path: str
    present: str
    changed: str
    test: str


MECHANISMS = (
    Mechanism(
        'shared view of schedulers',
        f'{_EDGE}/hub/shared_view.py',
        '        self.refresh()\n',
        '',
        'test_two_schedulers_serve_an_account_within_its_share_in_time',
    ),
    Mechanism(
        'agreed exclusions',
        f'{_EDGE}/links/entry.py',
        'known_hubs.adopt_exclusions(heard, hub)',
        'known_hubs.adopt_exclusions({}, hub)',
        'test_all_boxes_leave_a_scheduler_that_several_domains_lost',
    ),
    Mechanism(
        'pre-vote',
        f'{_CONTROL}/raft/election.py',
        'if not await _wins_vote(replica, client, replica.term + 1, pre_vote=True):\n'
        '        return\n',
        'await _wins_vote(replica, client, replica.term + 1, pre_vote=True)\n',
        'test_return_after_a_long_cut_does_not_depose',
    ),
    Mechanism(
        'votes withheld while a leader is heard',
        f'{_CONTROL}/raft/election.py',
        'if _hears_leader(replica) and request.candidate != replica.log.vote:',
        'if False:',
        'test_voter_that_hears_a_leader_elects_nobody',
    ),
    Mechanism(
        'answers of a new disk kept out of the lease',
        f'{_CONTROL}/raft/replication.py',
        'return AppendReply(other_replica=True)',
        'return AppendReply(term=replica.term, success=False)',
        'test_replacement_may_be_repeated',
    ),
    Mechanism(
        'one copy of an entry in a batch',
        f'{_CONTROL}/storage/log.py',
        'if entries and entries[-1].index >= first:',
        'if False:',
        'test_entry_replaced_before_its_sync_is_read_once',
    ),
    Mechanism(
        'answers remembered by number',
        f'{_CONTROL}/machine/state_machine.py',
        'deduplication.record_outcome(self.state, submission, outcome)',
        'pass',
        'test_resend_gets_the_first_answer',
    ),
    Mechanism(
        'version check of writes',
        f'{_CONTROL}/machine/configuration.py',
        'if write.based_on not in {None, current_version}:',
        'if False:',
        'test_one_of_two_racing_writes_wins',
    ),
    Mechanism(
        'lease counted from when it was asked for',
        f'{_ROUTER}/fleet/lease.py',
        'self.expires_at = max(self.expires_at, sent_at + seconds * _DRIFT_FACTOR)',
        'self.expires_at = self.now() + seconds * _DRIFT_FACTOR',
        'test_lease_counts_from_when_it_was_asked_for',
    ),
    Mechanism(
        'deltas only in order',
        f'{_ROUTER}/fleet/view.py',
        'if not follows or delta.version < self.version:',
        'if False:',
        'test_configuration_follows_and_never_reverts',
    ),
    Mechanism(
        'lease checked before dispatch',
        f'{_ROUTER}/fleet/lease.py',
        'return self.now() < self.expires_at',
        'return self.expires_at > 0',
        'test_routers_cut_off_from_control_stop_and_come_back',
    ),
    Mechanism(
        'claim before dispatch',
        f'{_ROUTER}/dispatch/attempts.py',
        'if admitted.key is None:\n        return False\n    stored',
        'if admitted:\n        return False\n    stored',
        'test_one_key_through_every_router_runs_once',
    ),
    Mechanism(
        'terminator checked',
        f'{_ROUTER}/dispatch/chat.py',
        "raise UpstreamBrokenError('stream ended without its terminator')",
        'return',
        'test_broken_stream_is_taken_up_by_another_engine and fault1',
    ),
    Mechanism(
        'callers who leave cancel',
        f'{_ROUTER}/serving/base.py',
        'self.work.cancel()',
        'pass',
        'test_caller_who_leaves_frees_the_slot',
    ),
    Mechanism(
        'leaving upstreams left out',
        f'{_ROUTER}/fleet/view.py',
        'return any(upstream in chosen for chosen in self.leaving_by_rule.values())',
        'return False',
        'test_drained_upstream_gets_no_new_work',
    ),
    Mechanism(
        'least served first',
        f'{_ROUTER}/scheduling/policy.py',
        '    return share.virtual_service()\n',
        '    return head.since\n',
        'test_service_follows_the_weights',
    ),
    Mechanism(
        'lift of returning accounts',
        f'{_ROUTER}/scheduling/fairness.py',
        'if gap > 0 or not share.seen:',
        'if False:',
        'test_idle_time_earns_no_credit',
    ),
    Mechanism(
        'cap on debts',
        f'{_ROUTER}/scheduling/fairness.py',
        'elif gap < -self.debt_cap:',
        'elif False:',
        'test_debt_from_elsewhere_is_capped',
    ),
    Mechanism(
        'patience',
        f'{_ROUTER}/scheduling/shard.py',
        'return [starved, *heads] if starved else heads',
        'return heads',
        'test_nobody_waits_for_ever_whatever_its_debt',
    ),
    Mechanism(
        'duties move when their holder is lost',
        f'{_CONTROL}/fleet/assignments.py',
        'if assignment is not None and assignment.incarnation in holders:',
        'if assignment is not None:',
        'test_loss_of_the_scheduler_loses_no_answer',
    ),
    Mechanism(
        'a planned stop waits',
        f'{_ROUTER}/process.py',
        'await asyncio.sleep(settings.address_ttl)\n'
        '        idle = _wait_until(lambda: not self.context.active)\n',
        'idle = _wait_until(lambda: True)\n',
        'test_rolling_restart_cuts_nothing',
    ),
    Mechanism(
        'handoff targets not charged with own delay',
        f'{_EDGE}/serving/relay_pump.py',
        '        for descriptor, events in self.poller.poll(0):\n',
        '        self._expire()\n'
        '        for descriptor, events in self.poller.poll(0):\n',
        'test_the_delay_of_the_box_itself_does_not_count_as_the_targets',
    ),
    Mechanism(
        'callers shared out by capacity of boxes',
        f'{_EDGE}/hub/directory.py',
        'parts = _capacity_fractions(set(addresses), entries)',
        'parts = dict.fromkeys(addresses, 1.0)',
        'test_callers_are_shared_out_in_proportion_to_capacity',
    ),
    Mechanism(
        'bodies not read beyond the budget of bytes',
        f'{_EDGE}/serving/caller_server.py',
        'if held_bytes.may_read(self.holding):',
        'if held_bytes.limit:',
        'test_reading_of_bodies_stops_while_the_budget_is_used',
    ),
    Mechanism(
        'waiting requests refused when a prediction turned bad',
        f'{_EDGE}/scheduling/waiting.py',
        'return worse and first_token_at > self.arrived + self.query.goal',
        'return False',
        'test_a_request_is_refused_when_its_prediction_turns_bad',
    ),
    Mechanism(
        'late answers to a stalled box bounded in time',
        f'{_EDGE}/hub/late_answers.py',
        'async with asyncio.timeout(MAX_SEND_SECONDS):',
        'async with asyncio.timeout(None):',
        'test_the_stream_of_a_box_that_reads_nothing_ends',
    ),
    Mechanism(
        'retries spread in the order of refusal',
        f'{_EDGE}/scheduling/retry_times.py',
        'backlog.tokens = min(most, ahead + weight_of(query.prompt))',
        'backlog.tokens = ahead',
        'test_callers_come_back_in_the_order_of_their_refusals',
    ),
    Mechanism(
        'long prompts sent where they are in time',
        f'{_EDGE}/scheduling/scheduler.py',
        'choice = self.engine_order.in_time(query, choice, share_used)',
        'pass',
        'test_a_long_prompt_goes_where_it_is_in_time',
    ),
    Mechanism(
        'cached parts taken from other engines',
        f'{_EDGE}/scheduling/cache_moves.py',
        'if link is None or query.tried or query.prompt is None:',
        'if True:',
        'test_a_part_is_taken_from_the_engine_that_is_busy',
    ),
    Mechanism(
        'only parts that were read are moved',
        f'{_EDGE}/scheduling/prefix_cache.py',
        'if known is None or not known.read or known.used < horizon:',
        'if known is None or known.used < horizon:',
        'test_a_part_that_is_queued_but_not_read_yet_is_no_source',
    ),
)


def fails_without(mechanism: Mechanism, scratch: Path) -> bool:
    """Return whether the test fails, or times out, without a mechanism."""
    path = scratch / mechanism.path
    original = path.read_text()
    assert mechanism.present in original, f'{mechanism.name}: text not found'
    path.write_text(original.replace(mechanism.present, mechanism.changed))
    sources = sorted(str(one) for one in scratch.glob('packages/*/src'))
    environment = {**os.environ, 'PYTHONPATH': ':'.join(sources)}
    command = [sys.executable, '-m', 'pytest', '-x', '-k', mechanism.test]
    try:
        completed = subprocess.run(
            command,
            cwd=scratch,
            env=environment,
            capture_output=True,
            timeout=_TEST_SECONDS,
            check=False,
        )
    except subprocess.TimeoutExpired:
        return True
    finally:
        path.write_text(original)
    return completed.returncode == 1


def main() -> int:
    """Check every mechanism; return 1 if a test passed without it."""
    word = sys.argv[1] if len(sys.argv) > 1 else ''
    unnoticed = 0
    with tempfile.TemporaryDirectory() as folder:
        scratch = Path(folder) / 'tree'
        ignored = shutil.ignore_patterns('.venv', '.git', '.hypothesis', 'results')
        shutil.copytree(_ROOT, scratch, ignore=ignored)
        for mechanism in MECHANISMS:
            if word not in mechanism.name:
                continue
            noticed = fails_without(mechanism, scratch)
            unnoticed += not noticed
            verdict = 'fails without it' if noticed else 'PASSES WITHOUT IT'
            print(f'{mechanism.name:45} {mechanism.test[:60]:62}{verdict}', flush=True)
    return 1 if unnoticed else 0


if __name__ == '__main__':
    sys.exit(main())
