"""Which machines count as lost, by the platform's page on losses.

"A machine is lost while it is down, frozen, slowed or cut off, and for ``catchUpS``
after it returns, or after its start if it is new; a removed machine ceases to count
once its successor has had that time."
"""

import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field


@dataclass
class MachineHistory:
    """What happened to a machine that counts; times in seconds.

    Attributes
    ----------
    is_new
        Whether it started after the others, with an empty disk.
    outages
        When it went down, froze or was cut off, and when it returned; ``inf`` if it
        has not.
    removed_at
        When it was taken away for good; ``inf`` if it was not.
    successor
        The machine that was added in its place.
    """

    name: str
    started_at: float = 0
    is_new: bool = False
    outages: list[tuple[float, float]] = field(default_factory=list)
    removed_at: float = math.inf
    successor: str = ''


def is_lost(
    machine: MachineHistory,
    at: float,
    catch_up: float,
    machines: Mapping[str, MachineHistory],
) -> bool:
    """Tell whether a machine counts as lost at a moment."""
    if at < machine.started_at:
        return False
    if at >= machine.removed_at:
        successor = machines.get(machine.successor)
        return successor is None or at < successor.started_at + catch_up
    if machine.is_new and at < machine.started_at + catch_up:
        return True
    return any(began <= at < ended + catch_up for began, ended in machine.outages)


def lost_machines(
    machines: Mapping[str, MachineHistory], at: float, catch_up: float
) -> set[str]:
    """Return the machines that count as lost at a moment.

    A successor stands for the machine that it replaces: the two count as one, so that
    more further losses are allowed than by the letter of the page.
    """
    lost = {
        name for name, one in machines.items() if is_lost(one, at, catch_up, machines)
    }
    replaced = {name for name in lost if machines[name].successor in lost - {name}}
    return lost - replaced


def is_allowed(
    machines: Mapping[str, MachineHistory],
    at: float,
    catch_up: float,
    allowed: int,
    victims: Iterable[str] = (),
) -> bool:
    """Tell whether the victims may be lost at a moment, beside those that are.

    While more are lost than allowed, "service may rest", and a successor can't catch
    up: its time runs only from when the losses are within the allowance again.
    """
    moments = {at, at - catch_up}
    for machine in machines.values():
        moments |= {machine.started_at, machine.removed_at}
        moments |= {began for began, _ in machine.outages}
    had_time = all(
        len(lost_machines(machines, moment, catch_up)) <= allowed
        for moment in moments
        if at - catch_up <= moment <= at
    )
    lost = lost_machines(machines, at, catch_up)
    return had_time and len(lost | set(victims)) <= allowed
