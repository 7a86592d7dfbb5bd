"""An account that sends all its requests to one box gets its share of the tokens.

Guards against a flooded box that spends all its processor time on rejecting requests
and serves none: its account gets nothing while accounts at other boxes are served in
full.
"""

from pathlib import Path

from bench.flooded_box import FLOODING, OTHER, TOKENS, play

TIMES = 10
SPARED_REQUESTS = 3


async def test_an_account_that_floods_one_box_gets_half_of_what_another_gets(
    tmp_path: Path,
) -> None:
    site = await play(tmp_path, TIMES)
    owed = min(site.asked[FLOODING], site.got[OTHER]) / 2 - SPARED_REQUESTS * TOKENS
    assert site.got[OTHER] > 0
    assert site.got[FLOODING] >= owed
