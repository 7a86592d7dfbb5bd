"""The ledger of requests that may run at most once.

A claim is never taken over: if its holder dies, the truth is unknown and
stays so until the key expires.  Expiry is safe because a key carries the
time of its issue, and a claim for an expired key is refused.
"""

from hitchdeck_control.machine.state import ClaimEntry, MachineState
from hitchdeck_core.commands import Claim, Settle
from hitchdeck_core.outcomes import Applied, Granted, Outcome, Pending, Refused, Settled

_CLOCK_SKEW_SECONDS = 300.0
"""Seconds by which a caller's clock may run ahead of the group's."""


def apply_claim(state: MachineState, claim: Claim, retention: float) -> Outcome:
    """Decide who runs a request.

    Parameters
    ----------
    retention
        Seconds after its issue for which a key is remembered.
    """
    if claim.issued + retention <= state.clock:
        return Refused(code='expired', reason='the key is past its retention')
    if claim.issued > state.clock + _CLOCK_SKEW_SECONDS:
        return Refused(code='invalid', reason='the key is issued in the future')
    entry = state.claims.get(ledger_key(claim.account, claim.key))
    if entry is not None:
        return _answer_existing_claim(entry, claim)
    state.claims[ledger_key(claim.account, claim.key)] = ClaimEntry(
        digest=claim.digest,
        router=claim.router,
        incarnation=claim.incarnation,
        request=claim.request,
        upstream=claim.upstream,
        expires=claim.issued + retention,
    )
    return Granted()


def apply_settle(state: MachineState, settle: Settle) -> Outcome:
    """Keep the outcome of a claim; ``not-run`` frees the key."""
    key = ledger_key(settle.account, settle.key)
    entry = state.claims.get(key)
    if entry is None or entry.request != settle.request:
        return Refused(code='not-found', reason='no such claim is held')
    if entry.ran:
        return Applied(version=state.version)
    if settle.ran == 'not-run':
        state.claims.pop(key)
        return Applied(version=state.version)
    entry.ran = settle.ran
    entry.status = settle.status
    entry.content_type = settle.content_type
    entry.body = settle.body
    return Applied(version=state.version)


def drop_expired(state: MachineState) -> None:
    """Forget keys past their retention."""
    expired = [
        key for key, entry in state.claims.items() if entry.expires <= state.clock
    ]
    for key in expired:
        state.claims.pop(key)


def ledger_key(account: str, key: str) -> str:
    """Return the key under which a claim is stored."""
    return f'{account}/{key}'


def _answer_existing_claim(entry: ClaimEntry, claim: Claim) -> Outcome:
    if entry.digest != claim.digest:
        return Refused(
            code='content-conflict',
            reason='the key was used with other content',
        )
    if entry.ran:
        return Settled(
            ran=entry.ran,
            status=entry.status,
            content_type=entry.content_type,
            body=entry.body,
        )
    if entry.request == claim.request:
        # The holder asks again because its answer was lost; it has not
        # dispatched, as it dispatches only on an answer.
        return Granted()
    return Pending(
        router=entry.router,
        incarnation=entry.incarnation,
        request=entry.request,
    )
