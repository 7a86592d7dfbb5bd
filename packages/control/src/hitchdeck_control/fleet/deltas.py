"""Configuration deltas for routers."""

from hitchdeck_control.machine.configuration import changes_since
from hitchdeck_control.machine.state_machine import StateMachine
from hitchdeck_core.resources import encode_resource
from hitchdeck_core.wire.hitchdeck_pb2 import Delta, ResourceChange


class DeltaCache:
    """Cache of the deltas to the current version, shared by all routers.

    After a change all routers need the same delta, and after the loss of a leader
    many need the full configuration.  With 12,000 upstreams, building it for each
    router would take the leader longer than its lease.
    """

    def __init__(self, machine: StateMachine) -> None:
        self.machine = machine
        self.version = 0
        self.by_base_version: dict[int, Delta] = {}

    def since(self, version: int) -> Delta:
        """Return the delta from a version to the current one."""
        if self.version != self.machine.state.version:
            self.version = self.machine.state.version
            self.by_base_version.clear()
        if version not in self.by_base_version:
            self.by_base_version[version] = build_delta(self.machine, version)
        return self.by_base_version[version]


def build_delta(machine: StateMachine, version: int) -> Delta:
    """Build the delta from a version, or a full one if changes are missing."""
    state = machine.state
    changes = changes_since(state, version) if version else None
    if changes is None:
        return Delta(
            version=state.version,
            full=True,
            changes=[
                _upsert(key, encode_resource(stored.resource))
                for key, stored in state.resources.items()
            ],
        )
    keys = dict.fromkeys(f'{one.kind}/{one.name}' for one in changes)
    delta = Delta(from_version=version, version=state.version)
    for key in keys:
        stored = state.resources.get(key)
        if stored is None:
            kind, _, name = key.partition('/')
            delta.changes.append(ResourceChange(kind=kind, name=name, deleted=True))
        else:
            delta.changes.append(_upsert(key, encode_resource(stored.resource)))
    return delta


def _upsert(key: str, body: bytes) -> ResourceChange:
    kind, _, name = key.partition('/')
    return ResourceChange(kind=kind, name=name, body=body)
