"""Validation of single fields, without a library that is slow to import.

A process serves no requests until its modules are imported.  Importing pydantic
took 115 of the 520 ms of processor time that the modules of an entry box took
(minimum of 15 runs); these checks take 2 ms.
"""

import ipaddress
import math
import re
import reprlib

NAME_PATTERN = '^[a-z0-9]([a-z0-9._-]{0,61}[a-z0-9])?$'
"""Pattern of the names of boxes and failure domains."""

_LAST_PORT = 65535
_PORT_DIGITS = 5


def abbreviated(given: object) -> str:
    """Return a repr for error messages, shortened for large inputs."""
    return reprlib.repr(given)


def check_address(given: object) -> str:
    """Return valid ``IP:port`` text, or raise ``ValueError``."""
    text = check_text(given)
    host, colon, port = text.rpartition(':')
    digits = port.isascii() and port.isdecimal() and len(port) <= _PORT_DIGITS
    if not colon or not digits or int(port) > _LAST_PORT:
        raise ValueError(f'{abbreviated(text)} is not IP:port')
    try:
        ipaddress.ip_address(host.strip('[]'))
    except ValueError as error:
        raise ValueError(f'{abbreviated(text)} has no IP number') from error
    return text


def check_text(given: object, min_length: int = 1) -> str:
    """Return text of a minimum length, or raise ``ValueError``."""
    if not isinstance(given, str):
        raise ValueError(f'{abbreviated(given)} is not text')
    if len(given) < min_length:
        raise ValueError(f'{abbreviated(given)} has fewer than {min_length} characters')
    return given


def check_name(given: object) -> str:
    """Return a valid name of a box or failure domain, or raise ``ValueError``."""
    text = check_text(given)
    if not re.fullmatch(NAME_PATTERN, text):
        raise ValueError(
            f'{abbreviated(text)} is not a name: lower case, digits, . _ -'
        )
    return text


def check_number(
    given: object,
    *,
    above: float = -math.inf,
    minimum: float = -math.inf,
    maximum: float = math.inf,
) -> float:
    """Return a finite number within bounds, or raise ``ValueError``.

    Parameters
    ----------
    above
        Exclusive lower bound.
    minimum, maximum
        Inclusive bounds.
    """
    if isinstance(given, bool) or not isinstance(given, int | float):
        raise ValueError(f'{abbreviated(given)} is not a number')
    if isinstance(given, float) and not math.isfinite(given):
        raise ValueError(f'{abbreviated(given)} is not a finite number')
    if given <= above:
        raise ValueError(f'{abbreviated(given)} is not above {above}')
    if not minimum <= given <= maximum:
        raise ValueError(f'{abbreviated(given)} is not from {minimum} to {maximum}')
    return given


def check_boolean(given: object) -> bool:
    """Return a boolean, or raise ``ValueError``."""
    if not isinstance(given, bool):
        raise ValueError(f'{abbreviated(given)} is neither true nor false')
    return given
