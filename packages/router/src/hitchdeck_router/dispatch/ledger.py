"""Claims for requests that may run at most once."""

import asyncio
import base64
from dataclasses import dataclass
from enum import Enum

from hitchdeck_core import logs
from hitchdeck_core.commands import Claim, Settle
from hitchdeck_core.control_client import ControlClient
from hitchdeck_core.errors import LinkError
from hitchdeck_core.ids import Incarnation, UpstreamName
from hitchdeck_core.outcomes import Granted, Outcome, Pending, Refused, Settled
from hitchdeck_core.supervisor import Supervisor
from hitchdeck_router.dispatch.requests import Admitted, Key
from hitchdeck_router.errors import NotRunError, OutcomeUnknownError, RouterError

LARGEST_KEPT_ANSWER = 65_536

_CLAIM_SECONDS = 5.0
_SETTLE_SECONDS = 60.0
_PENDING_POLLS = 25
_PENDING_PAUSE = 0.2
_CONFLICT = 409
_GONE = 410
_UNAVAILABLE = 503
_BAD_REQUEST = 400
_RETRY_AFTER_SECONDS = 2.0


class Ran(Enum):
    """What is known of a run."""

    ran = 'ran'
    not_run = 'not-run'
    unknown = 'unknown'


@dataclass(frozen=True, slots=True)
class KeptAnswer:
    """An answer that was given before, or is to be kept."""

    ran: Ran
    status: int = 0
    content_type: str = ''
    body: bytes = b''


class Ledger:
    """The router's dealings with the ledger of the control group."""

    def __init__(
        self,
        client: ControlClient,
        box: str,
        incarnation: Incarnation,
        supervisor: Supervisor,
    ) -> None:
        self.client = client
        self.box = box
        self.incarnation = incarnation
        self.supervisor = supervisor

    async def claim(
        self,
        admitted: Admitted,
        key: Key,
        upstream: UpstreamName,
    ) -> KeptAnswer | None:
        """Claim the run of a request.

        Returns
        -------
        KeptAnswer or None
            ``None`` if the run is this router's: dispatch once, now.  An
            earlier run's answer otherwise.

        Raises
        ------
        NotRunError
            The key is expired, was used with other content, or the control
            group can't be reached; this attempt has run nothing.
        OutcomeUnknownError
            Another router claimed it and has not said how it ended.
        """
        claim = Claim(
            account=admitted.account,
            key=key.text,
            digest=key.digest,
            issued=key.issued,
            router=self.box,
            incarnation=self.incarnation,
            request=admitted.request,
            upstream=upstream,
        )
        for _ in range(_PENDING_POLLS):
            outcome = await self._ask(admitted, key, claim)
            if isinstance(outcome, Granted):
                return None
            if isinstance(outcome, Settled):
                return _kept(outcome)
            if isinstance(outcome, Refused):
                raise _refusal(outcome)
            assert isinstance(outcome, Pending)
            await asyncio.sleep(_PENDING_PAUSE)
        raise OutcomeUnknownError(
            _CONFLICT,
            'in-progress',
            'another request with this key was sent on and has not ended',
            _RETRY_AFTER_SECONDS,
        )

    def settle(self, admitted: Admitted, key: Key, answer: KeptAnswer) -> None:
        """Record how a claimed run ended, in the background.

        Until that is committed, whoever asks again is told to wait, which
        is true.
        """
        body = base64.b64encode(answer.body).decode()
        if len(answer.body) > LARGEST_KEPT_ANSWER:
            body = ''
        settle = Settle(
            account=admitted.account,
            key=key.text,
            request=admitted.request,
            ran=answer.ran.value,
            status=answer.status,
            content_type=answer.content_type,
            body=body,
        )
        self.supervisor.temporary('settle', self._settle(settle))

    async def _ask(self, admitted: Admitted, key: Key, claim: Claim) -> Outcome:
        try:
            return await self.client.execute(claim, _CLAIM_SECONDS)
        except LinkError as error:
            # The claim may be committed all the same: free the key, since
            # nothing was sent on and nothing will be.
            self.settle(admitted, key, KeptAnswer(Ran.not_run))
            raise NotRunError(
                _UNAVAILABLE,
                'ledger-unreachable',
                str(error),
                _RETRY_AFTER_SECONDS,
            ) from error

    async def _settle(self, settle: Settle) -> None:
        try:
            await self.client.execute(settle, _SETTLE_SECONDS)
        except LinkError as error:
            logs.warning('outcome not recorded', key=settle.key, reason=str(error))


def _kept(settled: Settled) -> KeptAnswer:
    body = base64.b64decode(settled.body)
    return KeptAnswer(Ran(settled.ran), settled.status, settled.content_type, body)


def _refusal(refused: Refused) -> RouterError:
    if refused.code == 'expired':
        return NotRunError(_GONE, 'key-expired', refused.reason)
    if refused.code == 'content-conflict':
        return NotRunError(_CONFLICT, 'key-conflict', refused.reason)
    return NotRunError(_BAD_REQUEST, 'bad-key', refused.reason)
