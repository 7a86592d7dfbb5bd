"""Imports from a bundle of compiled modules, and without a usable one."""

import marshal
import sys
from pathlib import Path

import pytest

from hitchdeck_daemon import module_bundle
from hitchdeck_daemon.module_bundle import (
    Bundled,
    BundleFinder,
    bundle_path,
    import_bundled,
    write_bundle,
)
from hitchdeck_daemon.write_bundle import main

ROLE = 'bundled_example.role'


@pytest.fixture
def folder(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> Path:
    """Return the folder of the packages of a program whose sources say 'file'."""
    package = tmp_path / 'bundled_example'
    package.mkdir()
    (package / '__init__.py').write_text('')
    (package / 'role.py').write_text('from bundled_example.part import SOURCE\n')
    (package / 'part.py').write_text("SOURCE = 'file'\n")
    monkeypatch.setattr(
        module_bundle, 'root_folders', lambda: (str(tmp_path), '/nowhere')
    )
    monkeypatch.syspath_prepend(str(tmp_path))
    yield tmp_path
    forget_modules()


def forget_modules() -> None:
    for name in tuple(sys.modules):
        if name.startswith('bundled_example'):
            sys.modules.pop(name)


def modules() -> dict[str, Bundled]:
    def module(path: str, text: str, *, is_package: bool = False) -> Bundled:
        code = marshal.dumps(compile(text, path, 'exec'))
        return (0, path, is_package, code)

    return {
        'bundled_example': module('bundled_example/__init__.py', '', is_package=True),
        ROLE: module('bundled_example/role.py', 'from bundled_example.part import *'),
        'bundled_example.part': module('bundled_example/part.py', "SOURCE = 'bundle'"),
    }


def test_modules_come_from_the_bundle_with_paths_of_their_sources(folder):
    Path(bundle_path(ROLE)).write_bytes(write_bundle(modules()))
    role = import_bundled(ROLE)
    assert role.SOURCE == 'bundle'
    assert role.__file__ == str(folder / 'bundled_example' / 'role.py')
    assert not any(isinstance(one, BundleFinder) for one in sys.meta_path)


def test_without_a_bundle_modules_come_from_the_file_system(folder):
    assert import_bundled(ROLE).SOURCE == 'file'


@pytest.mark.parametrize(
    'damage',
    [
        lambda packed: packed[: len(packed) // 2],
        lambda packed: b'',
        lambda packed: packed.replace(sys.version.encode(), b'2' * len(sys.version)),
    ],
    ids=['cut off', 'empty', 'of another Python'],
)
def test_an_unusable_bundle_does_not_prevent_the_start(folder, damage):
    Path(bundle_path(ROLE)).write_bytes(damage(write_bundle(modules())))
    assert import_bundled(ROLE).SOURCE == 'file'


def test_modules_that_are_not_bundled_come_from_the_file_system(folder):
    partial = modules()
    partial.pop('bundled_example.part')
    Path(bundle_path(ROLE)).write_bytes(write_bundle(partial))
    assert import_bundled(ROLE).SOURCE == 'file'


def test_the_build_bundles_what_the_role_imports(folder, monkeypatch):
    monkeypatch.setattr(
        'hitchdeck_daemon.write_bundle.root_folders', module_bundle.root_folders
    )
    main(ROLE)
    forget_modules()
    (folder / 'bundled_example' / 'part.py').unlink()
    assert import_bundled(ROLE).SOURCE == 'file'
