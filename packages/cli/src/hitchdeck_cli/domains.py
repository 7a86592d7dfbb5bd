"""Evacuating failure domains: rules on the upstreams with their label."""

from hitchdeck_cli.errors import CommandError, ExitCode
from hitchdeck_core.commands import Delete, Put
from hitchdeck_core.queries import ResourceList
from hitchdeck_core.resources import Effect, Rule, Upstream

DOMAIN_LABEL = 'domain'
"""Label of an upstream that names its failure domain."""

_PREFIX = 'evacuate'


def evacuation_of(domain: str) -> Put:
    """Return the command that closes a domain's upstreams to new work."""
    rule = Rule(
        name=_rule_name(domain),
        effect=Effect.leaving,
        upstreams=f'{DOMAIN_LABEL}={domain}',
    )
    return Put(resource=rule)


def reopening_of(domain: str) -> Delete:
    """Return the command that reopens a domain's upstreams."""
    return Delete(kind='rule', name=_rule_name(domain))


def is_evacuated(domain: str, known: ResourceList) -> bool:
    """Tell whether a rule closes a domain."""
    return any(one.resource.name == _rule_name(domain) for one in known.resources)


def check_domain(domain: str, known: ResourceList) -> None:
    """Raise ``CommandError`` unless some upstream is in a domain."""
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
