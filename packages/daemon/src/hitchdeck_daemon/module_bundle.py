"""Imports from one file that holds the compiled modules of a program.

An import from the file system looks up, opens and reads several files.  A build may
prepare a bundle of all modules that a program imports at its start; without a bundle,
or with one of another Python, modules are imported from the file system.
"""

import marshal
import os
import sys
from collections.abc import Sequence
from importlib import import_module
from importlib.machinery import ExtensionFileLoader, ModuleSpec, SourceFileLoader
from types import CodeType, ModuleType

Bundled = tuple[int, str, bool, bytes]
"""A module: the number of the root folder that its path starts from, this path, whether
it is a package, and its marshalled code, which is empty for an extension."""


def root_folders() -> tuple[str, str]:
    """Return the folder of the packages and that of the standard library."""
    packages = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
    return packages, os.path.dirname(os.path.abspath(os.__file__))


def python_build() -> tuple[str, str]:
    """Identify the build of Python: marshalled code is only valid for the same one."""
    return sys.version, sys.implementation.cache_tag or ''


class BundledLoader(SourceFileLoader):
    """Loads a module from its marshalled code instead of its source."""

    def __init__(self, name: str, path: str, packed: bytes) -> None:
        super().__init__(name, path)
        self.packed = packed

    def get_code(self, fullname: str) -> CodeType | None:
        """Return the code of the module, from its source once it has been loaded."""
        packed, self.packed = self.packed, b''
        try:
            code = marshal.loads(packed) if packed else None
        except (EOFError, TypeError, ValueError):
            # Damaged in part: the source stands beside the bundle.
            code = None
        return code or super().get_code(fullname)


class BundleFinder:
    """Finds the modules of a bundle."""

    def __init__(self, modules: dict[str, Bundled]) -> None:
        self.modules = modules
        self.roots = root_folders()

    def find_spec(
        self,
        name: str,
        path: Sequence[str] | None = None,
        target: ModuleType | None = None,
    ) -> ModuleSpec | None:
        """Return the spec of a bundled module, ``None`` for any other."""
        entry = self.modules.pop(name, None)
        if entry is None:
            return None
        root, relative, is_package, packed = entry
        origin = f'{self.roots[root]}/{relative}'
        loader: SourceFileLoader | ExtensionFileLoader = (
            BundledLoader(name, origin, packed)
            if packed
            else ExtensionFileLoader(name, origin)
        )
        spec = ModuleSpec(name, loader, origin=origin, is_package=is_package)
        spec.has_location = True
        if is_package:
            spec.submodule_search_locations = [os.path.dirname(origin)]
        return spec


def read_bundle(packed: bytes) -> dict[str, Bundled]:
    """Return the modules of a bundle, none if another Python wrote it."""
    try:
        build, modules = marshal.loads(packed)
    except (EOFError, TypeError, ValueError):
        return {}
    return modules if build == python_build() else {}


def write_bundle(modules: dict[str, Bundled]) -> bytes:
    """Return the bundle of some modules."""
    return marshal.dumps((python_build(), modules))


def bundle_path(role_module: str) -> str:
    """Return the path of the bundle for a role: beside the packages."""
    return os.path.join(root_folders()[0], f'{role_module}.bundle')


def import_bundled(role_module: str) -> ModuleType:
    """Import the module of a role, from its bundle if there is one.

    The bundle is given up afterwards, as it takes some megabytes.
    """
    try:
        with open(bundle_path(role_module), 'rb') as bundle:
            modules = read_bundle(bundle.read())
    except OSError:
        # Not built: a source tree has no bundles.
        modules = {}
    finder = BundleFinder(modules)
    sys.meta_path.insert(0, finder)
    try:
        return import_module(role_module)
    finally:
        sys.meta_path.remove(finder)
        finder.modules = {}
