"""A hub on the platform: ``python3 -m hitchdeck_daemon.platform_hub``."""

from hitchdeck_daemon.startup import run_program

if __name__ == '__main__':
    run_program('hitchdeck_daemon.hub_role')
