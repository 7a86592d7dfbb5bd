"""A picked port stays reserved for the process that picked it."""

import socket
import subprocess
import sys

import pytest

from standins.ports import BLOCK, FIRST, HOST, Ports, PortsTakenError

FEW = 3 * BLOCK
TAKE_ONE = """
import sys
from standins.ports import Ports
print(Ports(int(sys.argv[1]), int(sys.argv[2])).take())
"""


@pytest.fixture(name='area')
def area_fixture() -> tuple[int, int]:
    """Return a range of ports that no other test uses."""
    return FIRST + 10_000, FIRST + 10_000 + FEW


def close(ports: Ports) -> None:
    """Release the reserved blocks."""
    for claim in ports.claims:
        claim.close()


def test_a_picked_port_is_given_to_nobody_else(area: tuple[int, int]) -> None:
    ports = Ports(*area)
    taken = [ports.take() for _ in range(BLOCK)]
    text = [str(one) for one in area]
    other = subprocess.run(
        [sys.executable, '-c', TAKE_ONE, *text],
        capture_output=True,
        check=True,
    )
    close(ports)
    assert len(set(taken)) == BLOCK
    assert int(other.stdout) not in taken


def test_a_port_on_which_something_listens_is_passed_over(
    area: tuple[int, int],
) -> None:
    with socket.create_server((HOST, area[0] + 1)):
        ports = Ports(*area)
        assert ports.take() == area[0] + 2
        close(ports)


def test_no_port_lies_where_outgoing_connections_get_theirs() -> None:
    with open('/proc/sys/net/ipv4/ip_local_port_range') as limits:
        lowest = int(limits.read().split()[0])
    ports = Ports()
    assert ports.take() < lowest
    assert ports.last <= lowest
    close(ports)


def test_exhausted_ports_raise_an_error_without_waiting(area: tuple[int, int]) -> None:
    ports = Ports(*area)
    with pytest.raises(PortsTakenError):
        for _ in range(FEW + 1):
            ports.take()
    close(ports)
