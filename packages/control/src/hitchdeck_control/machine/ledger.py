"""The ledger of non-repeatable requests, which may run at most once.

A claim is never transferred: if its holder crashes, the outcome is unknown and
stays unknown until the key expires.  Expiry is safe because a key contains its time
of issue, and claims for expired keys are rejected.
"""

from hitchdeck_control.machine.state import ClaimEntry, MachineState
from hitchdeck_core.commands import Claim, Settle
from hitchdeck_core.outcomes import Applied, Granted, Outcome, Pending, Refused, Settled

_CLOCK_SKEW_SECONDS = 300.0
"""Limit by which a caller's clock may be ahead of the group's clock."""


def apply_claim(state: MachineState, claim: Claim, retention: float) -> Outcome:
    """Grant a claim, or return the state of the existing one.

    Parameters
    ----------
    retention
        Seconds for which a key is kept after its issue.
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
    """Record the outcome of a claim; ``not-run`` releases the key."""
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
    """Remove expired keys."""
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
        # A retry by the holder, which lost the reply.  It hasn't dispatched the
        # request, since it does so only after a reply.
        return Granted()
    return Pending(
        router=entry.router,
        incarnation=entry.incarnation,
        request=entry.request,
    )
