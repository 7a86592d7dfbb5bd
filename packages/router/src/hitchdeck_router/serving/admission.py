"""Validation of request headers and bodies, and access checks."""

import json
import re
from typing import Any
from uuid import UUID

from tornado.httputil import HTTPHeaders

from hitchdeck_core.errors import SelectorError
from hitchdeck_core.ids import AccountName, PoolName, SessionName
from hitchdeck_core.labels import check_labels
from hitchdeck_core.resources import Pool, PoolKind, Urgency
from hitchdeck_router.dispatch.requests import IdempotencyKey, body_digest
from hitchdeck_router.errors import NotRunError
from hitchdeck_router.fleet.view import FleetView

SESSION_HEADER = 'Hitchdeck-Session'
LABELS_HEADER = 'Hitchdeck-Labels'
DEADLINE_HEADER = 'Hitchdeck-Deadline'
KEY_HEADER = 'Idempotency-Key'

_BAD_REQUEST = 400
_FORBIDDEN = 403
_NOT_FOUND = 404
_MAX_KEY_LENGTH = 200
_MAX_DEADLINE_SECONDS = 604_800
_UUID_TIME_VERSION = 7
_UUID_TIME_SHIFT = 80
_TIMESTAMPED_KEY = re.compile(r'(\d{9,11})-[\x21-\x7e]+')
_MS_PER_SECOND = 1000


def check_chat_body(body: bytes) -> dict[str, Any]:
    """Return the decoded chat request; raise ``NotRunError`` if it is invalid."""
    try:
        content = json.loads(body)
    except ValueError as error:
        raise _bad_request(f'body is not JSON: {error}') from error
    if not isinstance(content, dict):
        raise _bad_request('body must be a JSON object')
    if not isinstance(content.get('model'), str) or not content['model']:
        raise _bad_request('"model" must be a non-empty string')
    messages = content.get('messages')
    if not isinstance(messages, list) or not messages:
        raise _bad_request('"messages" must be a non-empty list')
    if not all(isinstance(message, dict) for message in messages):
        raise _bad_request('each message must be an object')
    _check_number_fields(content)
    return content


def check_model_pool(view: FleetView, account: AccountName, model: str) -> PoolName:
    """Return a pool that serves the model and that the account may use."""
    serving = [
        name
        for name, pool in view.pools.items()
        if pool.serves is PoolKind.model and pool.model == model
    ]
    if not serving:
        raise NotRunError(_NOT_FOUND, 'no-model', f'no pool serves {model!r}')
    reachable = view.reachable_pools(account)
    for name in sorted(serving):
        if name in reachable:
            return name
    raise NotRunError(_FORBIDDEN, 'no-access', f'no access to {model!r}')


def check_service_pool(view: FleetView, account: AccountName, name: str) -> PoolName:
    """Return a pool of plain services, if the account may use it."""
    pool = view.pools.get(PoolName(name))
    if pool is None or pool.serves is not PoolKind.service:
        raise NotRunError(_NOT_FOUND, 'no-pool', f'no service pool {name!r}')
    if PoolName(name) not in view.reachable_pools(account):
        raise NotRunError(_FORBIDDEN, 'no-access', f'no access to {name!r}')
    return PoolName(name)


def check_session(
    view: FleetView,
    account: AccountName,
    pool: PoolName,
    headers: HTTPHeaders,
) -> str:
    """Return the session named in the headers, blank if there is none."""
    name = headers.get(SESSION_HEADER, '')
    if not name:
        return ''
    session = view.sessions.get(SessionName(name))
    if session is None or session.account != account or session.pool != pool:
        raise NotRunError(
            _NOT_FOUND,
            'no-session',
            f'no session {name!r} of this account in pool {pool!r}',
        )
    return name


def check_urgency(
    view: FleetView,
    account: AccountName,
    pool: Pool,
    headers: HTTPHeaders,
) -> Urgency:
    """Return the urgency of a request, from the rules and its labels.

    The labels of account and pool take precedence over those in the request's
    header, so that a caller can't impersonate another account.
    """
    labels = {
        **_header_labels(headers.get(LABELS_HEADER, '')),
        **view.accounts[account].labels,
        **pool.labels,
        'account': account,
        'pool': pool.name,
    }
    return view.urgency_of(labels)


def check_deadline(headers: HTTPHeaders) -> float:
    """Return the deadline from the headers in seconds, 0 if there is none."""
    text = headers.get(DEADLINE_HEADER, '')
    if not text:
        return 0
    try:
        seconds = float(text)
    except ValueError as error:
        raise _bad_request(
            f'{DEADLINE_HEADER} must be seconds, not {text!r}'
        ) from error
    if not 0 < seconds <= _MAX_DEADLINE_SECONDS:
        raise _bad_request(
            f'{DEADLINE_HEADER} must be in (0, {_MAX_DEADLINE_SECONDS}] s'
        )
    return seconds


def check_key(headers: HTTPHeaders, path: str, body: bytes) -> IdempotencyKey | None:
    """Return the idempotency key, ``None`` if there is none.

    A key must contain its creation time, either as a UUID of version 7 or in
    the form ``<Unix seconds>-<text>``, so that a key older than the ledger's
    retention can be refused instead of being run again.
    """
    text = headers.get(KEY_HEADER, '')
    if not text:
        return None
    if len(text) > _MAX_KEY_LENGTH:
        raise _bad_request(f'{KEY_HEADER} is longer than {_MAX_KEY_LENGTH} characters')
    issued = _issue_time(text)
    if issued is None:
        raise _bad_request(
            f'{KEY_HEADER} {text!r} is neither a UUID of version 7 nor '
            '<Unix seconds>-<text>',
        )
    return IdempotencyKey(text, issued, body_digest(path, body))


def _issue_time(text: str) -> float | None:
    stamped = _TIMESTAMPED_KEY.fullmatch(text)
    if stamped:
        return float(stamped.group(1))
    try:
        uuid = UUID(text)
    except ValueError:
        return None
    if uuid.version != _UUID_TIME_VERSION:
        return None
    return (uuid.int >> _UUID_TIME_SHIFT) / _MS_PER_SECOND


def _header_labels(text: str) -> dict[str, str]:
    labels = {}
    for part in filter(None, (part.strip() for part in text.split(','))):
        key, equals, chosen = part.partition('=')
        if not equals:
            raise _bad_request(f'{LABELS_HEADER}: {part!r} is not key=value')
        labels[key.strip()] = chosen.strip()
    try:
        check_labels(labels)
    except SelectorError as error:
        raise _bad_request(f'{LABELS_HEADER}: {error}') from error
    return labels


def _check_number_fields(content: dict[str, Any]) -> None:
    for name in ('max_tokens', 'max_completion_tokens'):
        limit = content.get(name)
        if limit is None:
            continue
        if not isinstance(limit, int) or isinstance(limit, bool) or limit < 1:
            raise _bad_request(f'"{name}" must be a positive whole number')


def _bad_request(reason: str) -> NotRunError:
    return NotRunError(_BAD_REQUEST, 'bad-request', reason)
