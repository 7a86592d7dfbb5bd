"""An entry box on the platform: ``python3 -m hitchdeck_daemon.platform_entry``."""

from hitchdeck_daemon.startup import run_program

if __name__ == '__main__':
    run_program('hitchdeck_daemon.entry_role')
