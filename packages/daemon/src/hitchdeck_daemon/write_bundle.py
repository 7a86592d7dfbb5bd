"""Writes the bundle of a role's modules: a step of the build.

``python3 -S -m hitchdeck_daemon.write_bundle hitchdeck_daemon.entry_role`` imports the
role, and writes what was imported below the folder of this package or of the standard
library.
"""

import marshal
import os
import sys
from importlib import import_module
from importlib.machinery import ExtensionFileLoader, ModuleSpec, SourceFileLoader
from pathlib import Path

from hitchdeck_daemon.module_bundle import (
    Bundled,
    bundle_path,
    root_folders,
    write_bundle,
)


def bundled_modules() -> dict[str, Bundled]:
    """Return the modules imported so far that lie below a root folder."""
    modules = {}
    for name, module in sorted(sys.modules.items()):
        spec = getattr(module, '__spec__', None)
        bundled = _bundled(spec) if spec and spec.name == name else None
        if bundled is not None:
            modules[name] = bundled
    return modules


def _bundled(spec: ModuleSpec) -> Bundled | None:
    folders = spec.submodule_search_locations
    origin = spec.origin if spec.has_location else None
    code = b''
    if origin is None and folders is not None:
        # A namespace package: it has a folder, but no code.
        origin = os.path.join(next(iter(folders), ''), '__init__.py')
        code = marshal.dumps(
            SourceFileLoader(spec.name, origin).source_to_code(b'', origin)
        )
    elif not isinstance(spec.loader, ExtensionFileLoader):
        compiled = getattr(spec.loader, 'get_code', lambda _: None)(spec.name)
        if compiled is None:
            return None
        code = marshal.dumps(compiled)
    for root, folder in enumerate(root_folders()):
        if origin is not None and origin.startswith(f'{folder}/'):
            relative = origin[len(folder) + 1 :]
            return (root, relative, folders is not None, code)
    return None


def main(role_module: str) -> None:
    """Write the bundle of a role."""
    import_module(role_module)
    Path(bundle_path(role_module)).write_bytes(write_bundle(bundled_modules()))


if __name__ == '__main__':
    main(sys.argv[1])
