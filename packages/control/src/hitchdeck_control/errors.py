"""Errors of the control package."""

from hitchdeck_core.errors import HitchdeckError


class StorageError(HitchdeckError):
    """Raised when the data folder can't be read or written, or is inconsistent."""


class DiskFailedError(StorageError):
    """Raised after a write error that leaves the contents of the disk unknown."""


class DamagedLogError(StorageError):
    """Raised when a log file is corrupt before its last record.

    A crash can leave a torn last record, which is truncated.  Corruption before
    it means that synced and acknowledged state is lost, so the replica must not
    start.
    """


class NotLeaderError(HitchdeckError):
    """Raised when this replica isn't the leader; names the leader if it is known."""

    def __init__(self, leader_address: str) -> None:
        super().__init__(f'not the leader; try {leader_address or "another"}')
        self.leader_address = leader_address


class OutcomeUnknownError(HitchdeckError):
    """Raised when leadership was lost before a proposal's outcome was known."""


class OrderError(HitchdeckError):
    """Raised when an upstream did not accept an order; the order may be retried.

    ``retry_after`` is the upstream's ``Retry-After`` in seconds.
    """

    def __init__(self, reason: str, retry_after: float = 0) -> None:
        super().__init__(reason)
        self.retry_after = retry_after


class MembershipError(HitchdeckError):
    """Raised when a membership change is not possible now."""
