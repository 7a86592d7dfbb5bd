"""Label index, for matching selectors without scanning all upstreams."""

from collections import defaultdict
from collections.abc import Collection

from hitchdeck_core.ids import UpstreamName
from hitchdeck_core.labels import Labels, Operator, Requirement, Selector

_NAME_KEY = 'name'


class LabelIndex:
    """Inverted index from labels to upstreams.

    An upstream's name is matched as its label ``name``, which is not indexed,
    as each name would need a set of its own.  The labels are shared with the
    resource instead of copied: thousands of small dicts would take most of a
    router's memory.

    Most selectors have a requirement of the form ``key=value`` or ``key in
    (...)``; their other requirements are only checked on the upstreams that
    have such a label.
    """

    def __init__(self) -> None:
        self.labels: dict[UpstreamName, Labels] = {}
        self.names_by_label: dict[tuple[str, str], set[UpstreamName]] = defaultdict(set)

    def put(self, name: UpstreamName, labels: Labels) -> None:
        """Add an upstream, or replace its labels."""
        self.remove(name)
        self.labels[name] = labels
        for pair in labels.items():
            self.names_by_label[pair].add(name)

    def remove(self, name: UpstreamName) -> None:
        """Remove an upstream, if it is present."""
        for pair in self.labels.pop(name, {}).items():
            self.names_by_label[pair].discard(name)
            if not self.names_by_label[pair]:
                self.names_by_label.pop(pair)

    def matching(self, selector: Selector) -> set[UpstreamName]:
        """Return the upstreams that a selector matches."""
        return {
            name
            for name in self._candidates(selector)
            if selector.matches(self.all_labels(name))
        }

    def all_labels(self, name: UpstreamName) -> Labels:
        """Return an upstream's labels, including its name."""
        return {_NAME_KEY: name, **self.labels[name]}

    def _candidates(self, selector: Selector) -> Collection[UpstreamName]:
        narrowest: Collection[UpstreamName] = self.labels
        for requirement in selector.requirements:
            if requirement.operator is not Operator.one_of:
                continue
            found = self._names_with_label(requirement)
            if len(found) < len(narrowest):
                narrowest = found
        return narrowest

    def _names_with_label(self, requirement: Requirement) -> set[UpstreamName]:
        if requirement.key == _NAME_KEY:
            names = (UpstreamName(choice) for choice in requirement.choices)
            return {name for name in names if name in self.labels}
        found: set[UpstreamName] = set()
        for choice in requirement.choices:
            found |= self.names_by_label.get((requirement.key, choice), set())
        return found
