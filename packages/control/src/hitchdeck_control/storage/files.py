"""Durable file operations, which sync both the content and the folder."""

import os
from pathlib import Path


def sync_folder(folder: Path) -> None:
    """Sync a folder, so that new and renamed files in it survive a crash."""
    descriptor = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


def replace_file(path: Path, content: bytes) -> None:
    """Replace the content of a file atomically and durably."""
    temporary = path.with_name(f'{path.name}.new')
    with temporary.open('wb') as stream:
        stream.write(content)
        stream.flush()
        os.fsync(stream.fileno())
    temporary.replace(path)
    sync_folder(path.parent)
