"""Configuration: resources, their versions, and the list of recent changes."""

from expression import Error, Ok, Result

from hitchdeck_control.machine.state import Change, MachineState, VersionedResource
from hitchdeck_core.commands import Batch, Delete, Put
from hitchdeck_core.outcomes import Applied, Refused

_MAX_CHANGES = 4000
"""Changes kept for deltas.  A router that was cut off for an hour misses 1,167 at
28,000 changes a day.  One that is further behind gets the full configuration,
which takes it seconds at 12,000 upstreams."""

Write = Put | Delete


def storage_key(kind: str, name: str) -> str:
    """Return the key under which a resource is stored."""
    return f'{kind}/{name}'


def apply_batch(state: MachineState, batch: Batch) -> Result[Applied, Refused]:
    """Apply all changes of a batch, or none; a batch makes one new version."""
    for write in batch.changes:
        refusal = _check_precondition(state, write)
        if refusal is not None:
            return Error(refusal)
    state.version += 1
    for write in batch.changes:
        _write(state, write)
    state.changes = state.changes[-_MAX_CHANGES:]
    return Ok(Applied(version=state.version))


def changes_since(state: MachineState, version: int) -> list[Change] | None:
    """Return the changes after a version, or ``None`` if some are no longer kept."""
    if version > state.version:
        return None
    oldest = state.changes[0].version if state.changes else state.version + 1
    if version < oldest - 1:
        return None
    return [change for change in state.changes if change.version > version]


def _check_precondition(state: MachineState, write: Write) -> Refused | None:
    key = _key_of(write)
    stored = state.resources.get(key)
    if isinstance(write, Delete) and stored is None:
        return Refused(code='not-found', reason=f'there is no {key}')
    current_version = stored.version if stored else 0
    if write.based_on not in {None, current_version}:
        return Refused(
            code='version-conflict',
            reason=f'{key} is at version {current_version}, not {write.based_on}',
        )
    return None


def _write(state: MachineState, write: Write) -> None:
    key = _key_of(write)
    kind, _, name = key.partition('/')
    change = Change(version=state.version, kind=kind, name=name)
    state.changes.append(change)
    if isinstance(write, Delete):
        state.resources.pop(key, None)
        return
    state.resources[key] = VersionedResource(
        resource=write.resource, version=state.version
    )


def _key_of(write: Write) -> str:
    if isinstance(write, Delete):
        return storage_key(write.kind, write.name)
    return storage_key(write.resource.kind, write.resource.name)
