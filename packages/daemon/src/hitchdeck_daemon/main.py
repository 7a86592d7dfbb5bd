"""``hitchdeckd``: one process that runs the roles enabled in its settings."""

import asyncio
import gc
import signal
import sys
from pathlib import Path
from typing import Any

import fire

from hitchdeck_control.process import ControlProcess, start_control
from hitchdeck_core import logs
from hitchdeck_core.errors import HitchdeckError
from hitchdeck_core.loop_load import MeteredLoop
from hitchdeck_core.settings import Settings, load_settings
from hitchdeck_router.process import RouterProcess, start_router

_BAD_SETTINGS = 2
_FAILED = 1


def run(settings: str, *, check: bool = False) -> None:
    """Run a hitchdeck process until SIGTERM or SIGINT.

    Parameters
    ----------
    settings
        Path of the settings file, in TOML.
    check
        Only validate the settings, print ``ok`` and exit.
    """
    try:
        checked = load_settings(Path(settings))
    except HitchdeckError as error:
        sys.stderr.write(f'hitchdeckd: {error}\n')
        sys.exit(_BAD_SETTINGS)
    if check:
        sys.stdout.write(f'{settings}: ok\n')
        return
    logs.set_up(box=checked.box, domain=checked.domain)
    try:
        with asyncio.Runner(loop_factory=MeteredLoop) as runner:
            runner.run(_serve(checked))
    except (HitchdeckError, OSError) as error:
        logs.failure('stopped', error)
        sys.exit(_FAILED)


async def _serve(settings: Settings) -> None:
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopping.set)
    control: ControlProcess | None = None
    router: RouterProcess | None = None
    if settings.control is not None:
        control = await start_control(settings)
    if settings.router is not None:
        router = await start_router(settings)
    # Objects created during startup live until exit; keep them out of later
    # garbage collections.
    gc.freeze()
    await _wait_for_stop(stopping, control)
    if router is not None:
        await router.drain()
        await router.stop()
    if control is not None:
        await control.stop()
    logs.info('stopped')


async def _wait_for_stop(
    stopping: asyncio.Event,
    control: ControlProcess | None,
) -> None:
    """Wait for a signal; raise if a supervised task failed permanently.

    A control replica whose disk failed exits at once, without a graceful
    shutdown: it can no longer guarantee durability, and the other replicas
    keep serving.
    """
    waits: list[asyncio.Future[Any]] = [asyncio.ensure_future(stopping.wait())]
    if control is not None:
        failure = control.supervisor.wait_for_failure()
        waits.append(asyncio.ensure_future(failure))
    done, _ = await asyncio.wait(waits, return_when=asyncio.FIRST_COMPLETED)
    for one in done:
        one.result()


def main() -> None:
    """Run the command line."""
    fire.Fire(run, name='hitchdeckd')


if __name__ == '__main__':
    main()
