"""Play the scheduler on many drawn deployments: ``python -m bench.lab``."""

from concurrent.futures import ProcessPoolExecutor
from dataclasses import asdict
from random import Random
from statistics import fmean

import fire

from bench.lab.deployment import draw_deployment, with_uneven_engines
from bench.lab.judge import Verdict
from bench.lab.play import Play
from hitchdeck_core import logs
from hitchdeck_edge.model.mechanisms import Mechanisms


def play_one(seed: int, without: str, *, quiet: bool, uneven: bool = False) -> Verdict:
    """Return what one drawn play was worth, with one mechanism switched off."""
    logs.silence()
    deployment = draw_deployment(Random(f'{seed} deployment'), quiet=quiet)
    if uneven:
        deployment = with_uneven_engines(deployment, Random(f'{seed} engines'))
    mechanisms = Mechanisms(**({without: False} if without else {}))
    return Play(deployment, str(seed), mechanisms).run()


def main(
    seeds: int = 14,
    first: int = 1,
    jobs: int = 2,
    without: str = '',
    *,
    uneven: bool = False,
) -> None:
    """Print the mean worth over drawn quiet and busy plays.

    Parameters
    ----------
    seeds
        Plays of each sort.
    first
        First seed.
    jobs
        Processes to use.
    without
        Mechanism to switch off: a field of ``Mechanisms``.
    uneven
        Whether engines differ in speed and stall, and boxes are late.
    """
    numbers = range(first, first + seeds)
    with ProcessPoolExecutor(jobs) as pool:
        for quiet in (True, False):
            runs = [
                pool.submit(play_one, seed, without, quiet=quiet, uneven=uneven)
                for seed in numbers
            ]
            _print('quiet' if quiet else 'busy', [run.result() for run in runs])


def _print(name: str, verdicts: list[Verdict]) -> None:
    means = {
        field: fmean(asdict(one)[field] for one in verdicts)
        for field in asdict(verdicts[0])
    }
    print(name, ' '.join(f'{field} {mean:.3f}' for field, mean in means.items()))


if __name__ == '__main__':
    fire.Fire(main)
