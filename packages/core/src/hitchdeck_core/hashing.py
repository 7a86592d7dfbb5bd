"""Rendezvous hashing: choices that change little when the members change."""

import hashlib
from collections.abc import Iterable
from functools import lru_cache

_WORD_BYTES = 8
_CACHED_HASHES = 4096

HASH_VALUES: int = 2 ** (8 * _WORD_BYTES)
"""Number of possible values of a stable hash."""


@lru_cache(maxsize=_CACHED_HASHES)
def stable_hash(*parts: str) -> int:
    """Return a 64-bit hash that doesn't vary between processes."""
    return short_digest(*parts)


def short_digest(*parts: str) -> int:
    """Return the same hash without keeping it, for parts that hardly ever recur."""
    joined = '\x1f'.join(parts).encode()
    digest = hashlib.blake2b(joined, digest_size=_WORD_BYTES).digest()
    return int.from_bytes(digest, 'big')


def ranked(key: str, members: Iterable[str]) -> list[str]:
    """Return the members by descending rendezvous weight for a key."""
    return sorted(
        members,
        key=lambda member: (stable_hash(key, member), member),
        reverse=True,
    )


def first_ranked(key: str, members: Iterable[str]) -> str:
    """Return the first of ``ranked``, without sorting the others."""
    return max(members, key=lambda member: (stable_hash(key, member), member))


def token_hash(token: str) -> str:
    """Return the SHA-256 hex digest under which a bearer token is stored."""
    return hashlib.sha256(token.encode()).hexdigest()
