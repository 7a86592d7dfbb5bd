"""The journal is evidence: its files must not change once they are written."""

import hashlib
from pathlib import Path

BLOBS = Path(__file__).parents[2] / 'journal' / 'blobs'
NAME_DIGITS = 16


def test_each_blob_holds_what_its_name_is_the_digest_of() -> None:
    # Guards against renames over the whole tree, which altered blobs.
    altered = [
        blob.name
        for blob in BLOBS.iterdir()
        if hashlib.sha256(blob.read_bytes()).hexdigest()[:NAME_DIGITS] != blob.stem
    ]
    assert not altered
