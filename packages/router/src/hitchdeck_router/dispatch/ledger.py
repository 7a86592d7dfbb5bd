"""Idempotency claims, for requests that may run at most once."""

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
from hitchdeck_router.dispatch.requests import AdmittedRequest, IdempotencyKey
from hitchdeck_router.errors import NotRunError, OutcomeUnknownError, RouterError

MAX_STORED_RESPONSE_BYTES = 65_536

_CLAIM_TIMEOUT_SECONDS = 5.0
_SETTLE_TIMEOUT_SECONDS = 60.0
_PENDING_POLLS = 25
_PENDING_POLL_SECONDS = 0.2
_CONFLICT = 409
_GONE = 410
_UNAVAILABLE = 503
_BAD_REQUEST = 400
_RETRY_AFTER_SECONDS = 2.0


class RunStatus(Enum):
    """Whether a request has run, as far as this router knows."""

    ran = 'ran'
    not_run = 'not-run'
    unknown = 'unknown'


@dataclass(frozen=True, slots=True)
class StoredResponse:
    """The outcome of a run as stored in the ledger."""

    ran: RunStatus
    status: int = 0
    content_type: str = ''
    body: bytes = b''


class Ledger:
    """Client of the control group's ledger of claims and outcomes."""

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
        admitted: AdmittedRequest,
        key: IdempotencyKey,
        upstream: UpstreamName,
    ) -> StoredResponse | None:
        """Claim the run of a request.

        Returns
        -------
        StoredResponse or None
            ``None`` if the claim was granted, so that this router has to
            dispatch the request once; otherwise the outcome of an earlier run.

        Raises
        ------
        NotRunError
            The key is expired or was used with other content, or the control
            group can't be reached; nothing has run.
        OutcomeUnknownError
            Another router has the claim and has not settled it.
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
            outcome = await self._submit_claim(admitted, key, claim)
            if isinstance(outcome, Granted):
                return None
            if isinstance(outcome, Settled):
                return _stored_response(outcome)
            if isinstance(outcome, Refused):
                raise _refusal_error(outcome)
            assert isinstance(outcome, Pending)
            await asyncio.sleep(_PENDING_POLL_SECONDS)
        raise OutcomeUnknownError(
            _CONFLICT,
            'in-progress',
            'another request with this key was sent on and has not ended',
            _RETRY_AFTER_SECONDS,
        )

    def settle(
        self, admitted: AdmittedRequest, key: IdempotencyKey, response: StoredResponse
    ) -> None:
        """Record the outcome of a claimed run, in the background.

        Until this is committed, retries with the same key have to wait,
        as the claim is pending.
        """
        body = base64.b64encode(response.body).decode()
        if len(response.body) > MAX_STORED_RESPONSE_BYTES:
            body = ''
        settle = Settle(
            account=admitted.account,
            key=key.text,
            request=admitted.request,
            ran=response.ran.value,
            status=response.status,
            content_type=response.content_type,
            body=body,
        )
        self.supervisor.temporary('settle', self._settle(settle))

    async def _submit_claim(
        self, admitted: AdmittedRequest, key: IdempotencyKey, claim: Claim
    ) -> Outcome:
        try:
            return await self.client.execute(claim, _CLAIM_TIMEOUT_SECONDS)
        except LinkError as error:
            # The claim may have been committed nevertheless: release the key,
            # as the request was not and will not be dispatched.
            self.settle(admitted, key, StoredResponse(RunStatus.not_run))
            raise NotRunError(
                _UNAVAILABLE,
                'ledger-unreachable',
                str(error),
                _RETRY_AFTER_SECONDS,
            ) from error

    async def _settle(self, settle: Settle) -> None:
        try:
            await self.client.execute(settle, _SETTLE_TIMEOUT_SECONDS)
        except LinkError as error:
            logs.warning('outcome not recorded', key=settle.key, reason=str(error))


def _stored_response(settled: Settled) -> StoredResponse:
    body = base64.b64decode(settled.body)
    return StoredResponse(
        RunStatus(settled.ran), settled.status, settled.content_type, body
    )


def _refusal_error(refused: Refused) -> RouterError:
    if refused.code == 'expired':
        return NotRunError(_GONE, 'key-expired', refused.reason)
    if refused.code == 'content-conflict':
        return NotRunError(_CONFLICT, 'key-conflict', refused.reason)
    return NotRunError(_BAD_REQUEST, 'bad-key', refused.reason)
