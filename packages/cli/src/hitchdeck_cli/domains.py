"""Evacuates failure domains by rules that select upstreams by label."""

from hitchdeck_cli.errors import CommandError, ExitCode
from hitchdeck_core.commands import Delete, Put
from hitchdeck_core.queries import ResourceList
from hitchdeck_core.resources import Effect, Rule, Upstream

DOMAIN_LABEL = 'domain'
"""Upstream label that holds the name of its failure domain."""

_PREFIX = 'evacuate'


def evacuation_of(domain: str) -> Put:
    """Return the command that stops new requests to a domain's upstreams."""
    rule = Rule(
        name=_rule_name(domain),
        effect=Effect.leaving,
        upstreams=f'{DOMAIN_LABEL}={domain}',
    )
    return Put(resource=rule)


def reopening_of(domain: str) -> Delete:
    """Return the command that removes the evacuation rule of a domain."""
    return Delete(kind='rule', name=_rule_name(domain))


def is_evacuated(domain: str, known: ResourceList) -> bool:
    """Return whether an evacuation rule exists for a domain."""
    return any(one.resource.name == _rule_name(domain) for one in known.resources)


def check_domain(domain: str, known: ResourceList) -> None:
    """Raise ``CommandError`` if no upstream belongs to a domain."""
    domains = {
        one.resource.labels[DOMAIN_LABEL]
        for one in known.resources
        if isinstance(one.resource, Upstream) and DOMAIN_LABEL in one.resource.labels
    }
    if domain not in domains:
        listed = ', '.join(sorted(domains)) or 'none'
        raise CommandError(
            ExitCode.bad_input,
            f'no upstream has the label {DOMAIN_LABEL}={domain}; domains: {listed}',
        )


def _rule_name(domain: str) -> str:
    return f'{_PREFIX}-{domain}'
