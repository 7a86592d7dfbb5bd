"""Numbers from outside: fractions, huge, zero or absent, in settings of any shape.

Guards against processes that exit at the start because a bound is a fraction, which
left a day without service.
"""

import json
from pathlib import Path
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from hitchdeck_core.errors import HitchdeckError, SettingsError
from hitchdeck_core.ids import AccountName, PoolName, UpstreamName
from hitchdeck_core.wire.spread_pb2 import BoxFrame
from hitchdeck_edge.errors import DocumentError, MalformedRequestError
from hitchdeck_edge.links.placing_messages import encode_wanted
from hitchdeck_edge.links.records import encode_upstream
from hitchdeck_edge.model.placing import PlacementQuery
from hitchdeck_edge.state.tallies import Tally
from hitchdeck_platform.documents import read_document
from hitchdeck_platform.errors import FieldError
from hitchdeck_platform.hub_api import decode_upstream
from hitchdeck_platform.requests import read_call
from hitchdeck_platform.settings import decode_settings, read_settings

HUGE = 10**400
MEASURES = st.one_of(
    st.integers(0, 10**9),
    st.floats(0, 1e9, allow_nan=False),
    st.just(HUGE),
)
UNUSABLE = st.one_of(
    st.just(float('nan')),
    st.just(float('inf')),
    st.floats(max_value=-0.001, allow_nan=False),
    st.integers(max_value=-1),
    st.text(max_size=3),
    st.booleans(),
    st.just([]),
    st.just({}),
)
ANYTHING = st.recursive(
    st.one_of(MEASURES, UNUSABLE, st.none()),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(max_size=4), inner, max_size=3)
    ),
    max_leaves=6,
)

BOUNDS = (
    'graceS',
    'ttl_max_s',
    'quotaWindowS',
    'retryBudgetRatio',
    'retryExtra',
    'budgetWindowS',
)


def settings_fields(
    bounds: dict[str, Any] | None = None,
    machines: object = 2,
) -> dict[str, Any]:
    """Return the fields of a settings file as the platform documentation shows them."""
    return {
        'nodeName': 'front-a-1',
        'serves': ['front', 'control', 'directory'],
        'ip': '10.0.0.1',
        'zone': 'a',
        'portRange': [7400, 7415],
        'seeds': ['10.0.0.1:8785'],
        'firstStart': True,
        'dataDir': '/data/x',
        'heartbeatMs': 1200,
        'listen': {
            'front': '10.0.0.1:1',
            'ready': '10.0.0.1:2',
            'control': '10.0.0.1:3',
            'directory': '10.0.0.1:4',
        },
        'faultTolerance': {'machines': machines, 'zones': 0},
        'bounds': {'retryExtra': 58} if bounds is None else bounds,
    }


def document_fields() -> dict[str, Any]:
    """Return a document as the platform documentation shows it."""
    return {
        'version': 7,
        'routes': [
            {
                'name': 'r1',
                'host': 'h.example',
                'pathPrefix': '/a/',
                'routeType': 'stream',
                'timeoutMs': 6000,
                'goalMs': 600,
                'priority': 1,
                'backends': [{'service': 's', 'weight': 90}],
                'maxAttempts': 2,
                'gapGoalMs': 200,
            },
        ],
        'services': [
            {
                'name': 's',
                'maxConns': 390,
                'engine': {'slots': 64, 'kvCapacity': 392852, 'linkMbps': 1e6},
            },
        ],
        'limits': {'maxHeaderBytes': 16384, 'tokensPerS': 220000},
        'tenants': [{'name': 't', 'apiKeys': ['k'], 'priority': 1}],
    }


DOCUMENT_MEASURES = (
    ('routes', 0, 'goalMs'),
    ('routes', 0, 'gapGoalMs'),
    ('services', 0, 'maxConns'),
    ('services', 0, 'engine', 'slots'),
    ('services', 0, 'engine', 'kvCapacity'),
    ('limits', 'maxHeaderBytes'),
    ('limits', 'tokensPerS'),
)


def replaced(fields: Any, path: tuple[Any, ...], number: object) -> Any:
    """Return the document with the field at a path set."""
    parent = fields
    for step in path[:-1]:
        parent = parent[step]
    parent[path[-1]] = number
    return fields


@given(
    bounds=st.dictionaries(st.sampled_from(BOUNDS), MEASURES),
    machines=st.floats(0, 50),
    heartbeat=MEASURES,
    unknown=st.dictionaries(st.text(min_size=1), ANYTHING, max_size=3),
)
def test_every_process_starts_with_any_bounds_that_are_numbers(
    bounds: dict[str, Any],
    machines: float,
    heartbeat: float,
    unknown: dict[str, Any],
) -> None:
    fields = {
        **{f'x{name}': number for name, number in unknown.items()},
        **settings_fields({**bounds, 'xNew': 'unknown'}, machines),
        'heartbeatMs': heartbeat,
    }
    settings = decode_settings(fields)
    assert settings.entry is not None
    assert settings.hub is not None
    assert settings.hub.disks_lost >= machines
    assert settings.hub.report_period > 0
    if bounds.get('retryExtra', HUGE) < HUGE:
        assert settings.entry.retry_extra == pytest.approx(bounds['retryExtra'])


def test_a_fraction_of_a_bound_is_kept(tmp_path: Path) -> None:
    path = tmp_path / 'boot.toml'
    text = [f'{name} = {json.dumps(number)}' for name, number in _plain().items()]
    path.write_text(
        '\n'.join(
            [
                *text,
                '[listen]',
                *(f'{k} = "{v}"' for k, v in settings_fields()['listen'].items()),
                '[bounds]',
                'retryExtra = 36.666666666666664',
            ],
        ),
    )
    settings = read_settings(path)
    assert settings.entry is not None
    assert settings.entry.retry_extra == pytest.approx(36.666666666666664)


@pytest.mark.parametrize(
    ('limits', 'expected'),
    [
        ({}, (0, 0, 0)),
        ({'cpuShare': 0.5}, (0.5, 0, 0)),
        ({'cores': 2}, (2, 0, 0)),
        (
            {'cpuShare': 0.344, 'cores': 2, 'memoryMb': 200, 'maxFds': 4100, 'x': 'y'},
            (0.688, 200e6, 4100),
        ),
    ],
)
def test_the_limits_of_a_process_are_read(
    limits: dict[str, Any], expected: tuple[float, ...]
) -> None:
    fields = {**settings_fields(), 'limits': limits, 'contracts': ['base', 'pressure']}
    settings = decode_settings(fields).entry
    assert settings is not None
    known = (settings.capacity, settings.memory_limit, settings.descriptor_limit)
    assert known == pytest.approx(expected)


@pytest.mark.parametrize('contracts', [None, [], ['base', 'places']])
def test_memory_is_limited_only_with_its_contract_and_descriptors_always(
    contracts: list[str] | None,
) -> None:
    # Guards against budgets of bytes and longer time-outs in deployments without slow
    # peers, and against running out of descriptors in any deployment.
    limits = {'cpuShare': 0.5, 'memoryMb': 200, 'maxFds': 4100}
    fields = {**settings_fields(), 'limits': limits}
    if contracts is not None:
        fields['contracts'] = contracts
    settings = decode_settings(fields).entry
    assert settings is not None
    assert settings.capacity == pytest.approx(0.5)
    assert settings.memory_limit == 0
    assert settings.descriptor_limit == 4100


@given(
    name=st.sampled_from(['cpuShare', 'cores', 'memoryMb', 'maxFds']),
    number=UNUSABLE,
)
def test_a_limit_that_is_no_number_is_named(name: str, number: object) -> None:
    with pytest.raises(FieldError, match=rf'limits\.{name}'):
        decode_settings({**settings_fields(), 'limits': {name: number}})


def _plain() -> dict[str, Any]:
    fields = settings_fields()
    return {name: fields[name] for name in fields if not isinstance(fields[name], dict)}


@given(name=st.sampled_from(BOUNDS), number=UNUSABLE)
def test_a_bound_that_is_no_number_is_named(name: str, number: object) -> None:
    with pytest.raises(FieldError, match=rf'bounds\.{name}'):
        decode_settings(settings_fields({name: number}))


@given(name=st.sampled_from(sorted(settings_fields())), number=ANYTHING)
def test_settings_of_any_shape_give_a_readable_error(
    name: str,
    number: object,
) -> None:
    try:
        decode_settings({**settings_fields(), name: number})
    except (FieldError, SettingsError) as error:
        assert str(error)


@given(path=st.sampled_from(DOCUMENT_MEASURES), number=MEASURES)
def test_a_document_may_hold_any_number_as_a_measure(
    path: tuple[Any, ...],
    number: float,
) -> None:
    fields = replaced(document_fields(), path, number)
    document = read_document(json.dumps(fields).encode())
    assert document.version == 7


@given(
    path=st.sampled_from(
        (*DOCUMENT_MEASURES, ('version',), ('routes', 0, 'timeoutMs'))
    ),
    number=UNUSABLE.filter(lambda one: one not in ([], {})),
)
def test_an_invalid_number_in_a_document_is_named(
    path: tuple[Any, ...],
    number: object,
) -> None:
    fields = replaced(document_fields(), path, number)
    with pytest.raises(DocumentError, match=path[-1]):
        read_document(json.dumps(fields).encode())


@given(ANYTHING)
def test_a_document_of_any_shape_is_refused_with_a_reason(number: object) -> None:
    with pytest.raises(HitchdeckError):
        read_document(json.dumps(number).encode())


@pytest.mark.parametrize('depth', [10, 100_000])
def test_a_document_nested_too_deeply_is_refused(depth: int) -> None:
    with pytest.raises(DocumentError):
        read_document(b'[' * depth)


@pytest.mark.parametrize('version', [7.5, 2**63, -1, '7', True, None])
def test_a_version_is_a_whole_number(version: object) -> None:
    with pytest.raises(DocumentError, match='version'):
        read_document(json.dumps({**document_fields(), 'version': version}).encode())


@pytest.mark.parametrize('name', ['a\r\nTenant: b', 'a\x00', '\ud800', ''])
def test_an_account_whose_name_can_not_be_sent_is_refused(name: str) -> None:
    fields = replaced(document_fields(), ('tenants', 0, 'name'), name)
    with pytest.raises(DocumentError, match='name'):
        read_document(json.dumps(fields).encode())


REPORT = {
    'service': 's',
    'address': '10.0.0.9:8080',
    'zone': 'a',
    'slots': 64,
    'state': 'ready',
    'sequence': 4,
}


@given(name=st.sampled_from(sorted(REPORT)), number=ANYTHING)
def test_a_report_is_accepted_and_propagated_or_refused(
    name: str, number: object
) -> None:
    try:
        upstream = decode_upstream('i-1', {**REPORT, name: number})
    except (FieldError, ValueError) as error:
        assert str(error)
        return
    assert encode_upstream(upstream).SerializeToString()


@given(slots=MEASURES)
def test_a_report_may_have_any_number_of_slots(slots: float) -> None:
    assert decode_upstream('i-1', {**REPORT, 'slots': slots}).slots >= 1


@given(
    patience=st.one_of(
        MEASURES.map(str), st.sampled_from(['inf', '1e999', '0', '1.5'])
    ),
    sizes=st.tuples(MEASURES, MEASURES),
    parts=st.lists(MEASURES, max_size=3),
)
def test_a_placement_query_may_have_any_size(
    patience: str,
    sizes: tuple[float, float],
    parts: list[float],
) -> None:
    call = read_call(
        'POST',
        '/a/b',
        [
            ('Deadline-Ms', patience),
            ('Token-Count', f'{sizes[0]},{sizes[1]}'),
            ('Prompt-Prefix', ','.join(f'{n}:{one}' for n, one in enumerate(parts))),
        ],
    )
    assert call.timeout is not None
    wanted = PlacementQuery(
        request=call.request,
        pool=PoolName('s'),
        domain='a',
        slots=64,
        goal=call.timeout,
        account=AccountName('t'),
        prompt=call.prompt,
        tried=frozenset(),
        resumes=False,
    )
    assert encode_wanted(1, wanted).SerializeToString()


@pytest.mark.parametrize('header', [('Deadline-Ms', 'nan'), ('Token-Count', '-1,2')])
def test_a_request_with_unusable_numbers_is_refused(
    header: tuple[str, str],
) -> None:
    with pytest.raises(MalformedRequestError):
        read_call('POST', '/a/b', [header])


@given(st.lists(st.integers(0, 2**31 - 1), min_size=1, max_size=6))
def test_demands_whose_sum_exceeds_a_field_are_sent(
    tokens: list[int],
) -> None:
    tally = Tally()
    for one in tokens:
        tally.asked[AccountName('t')] += one
        tally.waiting[UpstreamName('e')] += one
    frame = BoxFrame(loads=tally.loads(), demands=tally.demands())
    assert BoxFrame.FromString(frame.SerializeToString()) == frame
