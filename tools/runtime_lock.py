"""Write requirements-runtime.lock, the runtime subset of requirements.lock.

Run after requirements.lock has changed, in an environment installed from it.
"""

import re
from importlib.metadata import requires
from pathlib import Path

ROOT = Path(__file__).parent.parent
DIRECT = (
    'absl-py',
    'expression',
    'grpclib',
    'hdrhistogram',
    'httptools',
    'protobuf',
    'pydantic',
    'tornado',
)
"""Direct dependencies of the packages that are deployed."""

HEADER = '# Made from requirements.lock by tools/runtime_lock.py.\n'


def main() -> None:
    """Write the runtime lock file."""
    required: set[str] = set()
    for name in DIRECT:
        collect_requirements(name, required)
    entries = read_entries((ROOT / 'requirements.lock').read_text())
    kept = [entries[name] for name in sorted(required) if name in entries]
    (ROOT / 'requirements-runtime.lock').write_text(HEADER + ''.join(kept))


def collect_requirements(name: str, required: set[str]) -> None:
    """Add a library and its transitive dependencies, without extras."""
    normal = name.lower().replace('_', '-')
    if normal in required:
        return
    required.add(normal)
    for requirement in requires(name) or ():
        if 'extra ==' not in requirement:
            collect_requirements(re.split(r'[^A-Za-z0-9._-]', requirement)[0], required)


def read_entries(lock: str) -> dict[str, str]:
    """Return the lock's entries by library, each with its hashes."""
    entries = re.split(r'^(?=[a-z])', lock, flags=re.MULTILINE)
    return {one.partition('==')[0]: one for one in entries if '==' in one}


if __name__ == '__main__':
    main()
