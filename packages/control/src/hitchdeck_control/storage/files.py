"""File operations that last: content and folder entry are both synced."""

import os
from pathlib import Path


def sync_folder(folder: Path) -> None:
    """Sync a folder, without which a new or renamed file may vanish."""
    descriptor = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


def replace_file(path: Path, content: bytes) -> None:
    """Put content at path, whole or not at all."""
    temporary = path.with_name(f'{path.name}.new')
    with temporary.open('wb') as stream:
        stream.write(content)
        stream.flush()
        os.fsync(stream.fileno())
    temporary.replace(path)
    sync_folder(path.parent)
