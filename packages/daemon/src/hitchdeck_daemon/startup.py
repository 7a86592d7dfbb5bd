"""Start of a platform program: imports at a low cost, then the role.

The processes of a fleet start some 200 times a day, and most of the processor time of a
start goes into imports.
"""

import gc
import signal

from hitchdeck_daemon.module_bundle import import_bundled


def run_program(role_module: str) -> None:
    """Import a module that defines a role, and call its ``run``."""
    # Ends the process by default.  It is held back until the role handles it.
    signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP})
    # Imports create many objects and little garbage: with collections, they took 1.3
    # times the processor time.  The role enables collections once it has started.
    gc.disable()
    import_bundled(role_module).run()
