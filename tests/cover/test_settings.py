"""Each invalid setting gives a one-line error with file, key and expected value."""

from pathlib import Path

import pytest

from hitchdeck_core.errors import SettingsError
from hitchdeck_core.settings import load_settings

GOOD = """
box = "a"
domain = "north"
fleet_token = "long-enough"
roles = ["control", "router"]
[control]
listen = "127.0.0.1:7001"
data_folder = "data"
[router]
listen = "127.0.0.1:7002"
wire_listen = "127.0.0.1:7003"
control = ["127.0.0.1:7001"]
"""


def test_good_settings_are_read(tmp_path: Path) -> None:
    path = tmp_path / 'a.toml'
    path.write_text(GOOD)
    settings = load_settings(path)
    assert settings.router is not None
    assert settings.router.address_ttl == 10


@pytest.mark.parametrize(
    ('old', 'new', 'named'),
    [
        ('domain = "north"', '', 'domain'),
        ('domain = "north"', 'domain = 3', 'domain'),
        ('domain = "north"', 'domian = "north"', 'domian'),
        ('"127.0.0.1:7001"\ndata', '"localhost:7001"\ndata', 'control.listen'),
        ('"127.0.0.1:7002"', '"127.0.0.1:99999"', 'router.listen'),
        ('"127.0.0.1:7003"', '"127.0.0.1:7002"', 'listened on twice'),
        ('["control", "router"]', '["control"]', 'go together'),
        ('["control", "router"]', '["control", "control"]', 'twice'),
        ('["control", "router"]', '["balancer"]', 'roles'),
        ('data_folder = "data"', 'data_folder = "d"\nheartbeat = 1', 'heartbeats'),
        ('box = "a"', 'box = "A b"', 'box'),
        ('box = "a"', 'box = ', 'a.toml'),
    ],
)
def test_bad_settings_name_what_is_wrong(
    tmp_path: Path,
    old: str,
    new: str,
    named: str,
) -> None:
    assert old in GOOD
    path = tmp_path / 'a.toml'
    path.write_text(GOOD.replace(old, new, 1))
    with pytest.raises(SettingsError) as raised:
        load_settings(path)
    text = str(raised.value)
    assert str(path) in text
    assert named in text
    assert '\n' not in text.strip()
