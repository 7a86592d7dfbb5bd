"""Regenerate the committed message modules from the ``.proto`` files.

Needs ``grpcio-tools``, which is not in the lock file: builds don't use it.
"""

import subprocess
import sys
from pathlib import Path

SOURCE_ROOT = Path(__file__).parent.parent / 'packages' / 'core' / 'src'
PROTOS = (
    'hitchdeck_core/wire/quarantine.proto',
    'hitchdeck_core/wire/hitchdeck.proto',
    'hitchdeck_core/wire/spread.proto',
)


def main() -> None:
    """Run the protobuf compiler with the grpclib plug-in."""
    command = [
        sys.executable,
        '-m',
        'grpc_tools.protoc',
        f'-I{SOURCE_ROOT}',
        f'--python_out={SOURCE_ROOT}',
        f'--pyi_out={SOURCE_ROOT}',
        f'--grpclib_python_out={SOURCE_ROOT}',
        *PROTOS,
    ]
    subprocess.run(command, check=True)


if __name__ == '__main__':
    main()
