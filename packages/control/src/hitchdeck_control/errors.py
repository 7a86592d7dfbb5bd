"""Errors of the control package."""

from hitchdeck_core.errors import HitchdeckError


class StorageError(HitchdeckError):
    """Raised when the data folder can't be read, written or trusted."""


class DiskFailedError(StorageError):
    """Raised when a disk failed for good: what it holds can't be known any more."""


class DamagedLogError(StorageError):
    """Raised when a log file is damaged before its end.

    A torn last record is what a crash leaves and is cut off; damage before
    it means that synced, promised state is gone, and starting would forget it.
    """


class NotLeaderError(HitchdeckError):
    """Raised when this replica can't decide; it names the leader if known."""

    def __init__(self, leader_address: str) -> None:
        super().__init__(f'not the leader; try {leader_address or "another"}')
        self.leader_address = leader_address


class OutcomeUnknownError(HitchdeckError):
    """Raised when leadership was lost before a proposal's fate was known."""


class OrderError(HitchdeckError):
    """Raised when an upstream did not take an order; it may be sent again.

    ``retry_after`` is the upstream's ``Retry-After`` in seconds.
    """

    def __init__(self, reason: str, retry_after: float = 0) -> None:
        super().__init__(reason)
        self.retry_after = retry_after


class MembershipError(HitchdeckError):
    """Raised when a membership change may not be made now."""
