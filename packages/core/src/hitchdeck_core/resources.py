"""Resources that operators define, with one schema for TOML, log and wire."""

from enum import Enum, IntEnum
from typing import Annotated, Any, Literal, Self

from pydantic import (
    AfterValidator,
    BaseModel,
    ConfigDict,
    Field,
    TypeAdapter,
    ValidationError,
)

from hitchdeck_core.errors import ResourceError
from hitchdeck_core.field_types import AddressText, Name
from hitchdeck_core.ids import AccountName, PoolName, SoftwareVersion, UpstreamName
from hitchdeck_core.labels import check_labels, check_selector


class Kind(Enum):
    """Kinds of resources."""

    account = 'account'
    pool = 'pool'
    upstream = 'upstream'
    session = 'session'
    rule = 'rule'


class PoolKind(Enum):
    """Type of the upstreams in a pool."""

    model = 'model'
    service = 'service'


class Urgency(IntEnum):
    """Priority of requests; lower values are served first."""

    urgent = 0
    normal = 1
    deferrable = 2


class Effect(Enum):
    """Effect of a rule on the objects that its selectors match."""

    access = 'access'
    leaving = 'leaving'
    urgent = 'urgent'
    deferrable = 'deferrable'


def _check_selector_text(text: str) -> str:
    try:
        check_selector(text)
    except Exception as error:
        raise ValueError(str(error)) from error
    return text


def _check_label_map(labels: dict[str, str]) -> dict[str, str]:
    try:
        check_labels(labels)
    except Exception as error:
        raise ValueError(str(error)) from error
    return labels


SelectorText = Annotated[str, AfterValidator(_check_selector_text)]
LabelMap = Annotated[dict[str, str], AfterValidator(_check_label_map)]


class Definition(BaseModel):
    """Base of all resources: a name and labels."""

    model_config = ConfigDict(extra='forbid', frozen=True)

    name: Name
    labels: LabelMap = Field(default_factory=dict)

    def all_labels(self) -> dict[str, str]:
        """Return the labels, with the resource's name added under ``name``."""
        return {'name': self.name, **self.labels}


class Account(Definition):
    """A client account.

    ``weight`` is its share relative to other accounts; ``key_hashes`` are the
    SHA-256 hex digests of its bearer tokens, which are not stored themselves.
    """

    kind: Literal['account'] = 'account'
    weight: float = Field(default=1, gt=0, le=1000)
    key_hashes: tuple[str, ...] = ()


class Pool(Definition):
    """A set of interchangeable upstreams.

    ``urgent_overcommit`` is the number of urgent requests that an upstream may
    run above its slots; ``queue_limit`` bounds the queued requests of each
    account in each shard; a pool that is not ``repeatable`` requires an
    idempotency key for all requests except reads.
    """

    kind: Literal['pool'] = 'pool'
    serves: PoolKind = PoolKind.model
    model: str = ''
    upstreams: SelectorText = ''
    shards: int = Field(default=1, ge=1, le=1024)
    urgent_overcommit: int = Field(default=1, ge=0, le=64)
    queue_limit: int = Field(default=256, ge=1, le=100_000)
    repeatable: bool = True


SOFTWARE_LABEL = 'software'
"""Label of an upstream with the version of its software."""


class Upstream(Definition):
    """One back end: a model engine or a plain service."""

    kind: Literal['upstream'] = 'upstream'
    address: AddressText
    slots: int = Field(default=8, ge=1, le=4096)
    checks_fences: bool = False

    @property
    def software(self) -> SoftwareVersion:
        """Return the version of its software; empty if its labels state none."""
        return SoftwareVersion(self.labels.get(SOFTWARE_LABEL, ''))


class Session(Definition):
    """A long-lived conversation of an account in a pool."""

    kind: Literal['session'] = 'session'
    account: Name
    pool: Name


class Rule(Definition):
    """A policy that applies to all objects matched by its selectors.

    ``access`` gives matching accounts access to matching pools; ``leaving``
    drains matching upstreams or entry boxes; ``urgent`` and ``deferrable`` set
    the priority of requests with matching labels.
    """

    kind: Literal['rule'] = 'rule'
    effect: Effect
    accounts: SelectorText = ''
    pools: SelectorText = ''
    upstreams: SelectorText = ''
    boxes: SelectorText = ''
    requests: SelectorText = ''

    def check_complete(self) -> Self:
        """Return the rule, or raise ``ResourceError`` if a selector is missing.

        An empty selector matches everything, so a leaving rule without one would
        drain the whole fleet.
        """
        selects = self.upstreams.strip() or self.boxes.strip()
        if self.effect is Effect.leaving and not selects:
            raise ResourceError(
                f'rule {self.name!r}: a leaving rule must select upstreams or boxes',
            )
        return self


Resource = Annotated[
    Account | Pool | Upstream | Session | Rule,
    Field(discriminator='kind'),
]
_ADAPTER: TypeAdapter[Resource] = TypeAdapter(Resource)

ResourceKey = tuple[str, str]
"""Kind and name of a resource, which identify it."""

UpstreamMap = dict[UpstreamName, Upstream]
AccountMap = dict[AccountName, Account]
PoolMap = dict[PoolName, Pool]


def key_of(resource: Resource) -> ResourceKey:
    """Return the key under which a resource is stored."""
    return resource.kind, resource.name


def parse_resource(source: bytes | str | dict[str, Any]) -> Resource:
    """Return the validated resource, or raise ``ResourceError``.

    Parameters
    ----------
    source
        JSON text, or a mapping parsed from TOML.
    """
    try:
        if isinstance(source, dict):
            resource = _ADAPTER.validate_python(source)
        else:
            resource = _ADAPTER.validate_json(source)
    except ValidationError as error:
        raise ResourceError(explain(error)) from error
    if isinstance(resource, Rule):
        resource.check_complete()
    return resource


def encode_resource(resource: Resource) -> bytes:
    """Encode the resource as JSON."""
    return _ADAPTER.dump_json(resource)


def explain(error: ValidationError) -> str:
    """Format validation errors in one line: path, message and rejected input."""
    return '; '.join(
        '{where}: {what} (given: {given!r})'.format(
            where='.'.join(str(step) for step in one['loc']) or 'top level',
            what=one['msg'],
            given=one['input'],
        )
        for one in error.errors()
    )
