"""Results of replays: outcomes by class, workspace, zone and second."""

from collections import Counter, defaultdict
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Any

from mintlanding.load_replay.calls import Call, Outcome
from mintlanding.load_replay.models import LoadRecord
from mintlanding.load_replay.policies import POLICIES
from mintlanding.load_replay.replay import STATUS_SECONDS, Fleet, FleetReplay

_GROUPS: dict[str, Callable[[Call], str]] = {
    'class': lambda call: call.kind.route,
    'workspace': lambda call: call.workspace,
    'zone': lambda call: call.zone,
    'second': lambda call: str(int(call.arrived)),
}


@dataclass(slots=True)
class PolicyResult:
    """What one policy did with a load.

    `groups` are outcomes by kind of group and name, `loads` those of adapters
    from the weight store, `pairs` the distinct adapters with their versions
    among them, `asked` the stewards that were asked, and `peaks` the most
    requests at once of each engine.
    """

    policy: str
    outcomes: Counter[Outcome]
    groups: dict[str, dict[str, Counter[Outcome]]] = field(repr=False)
    loads: int = 0
    pairs: int = 0
    asked: int = 0
    peaks: dict[str, int] = field(default_factory=dict)

    def as_document(self, bound: int) -> dict[str, Any]:
        """Return the result for JSON; `bound` is that of requests on time."""
        on_time = self.outcomes[Outcome.on_time]
        return {
            'policy': self.policy,
            **_counts(self.outcomes),
            'share_of_bound': round(on_time / bound, 4) if bound else None,
            'adapter_loads': self.loads,
            'pairs': self.pairs,
            'stewards_asked': self.asked,
            'by': {
                kind: {name: _counts(found) for name, found in names.items()}
                for kind, names in self.groups.items()
            },
        }


def replay_record(
    record: LoadRecord,
    policy: str,
    seed: int,
    instances: int = 0,
    status_seconds: float = STATUS_SECONDS,
) -> PolicyResult:
    """Replay a record with a policy; the same seed gives the same result.

    `instances` overrides the number of the record; what they know of engines is
    up to `status_seconds` old. Raise ConfigurationError for an unknown policy.
    """
    calls = [
        Call.from_request(number, req)
        for number, req in enumerate(record.requests)
    ]
    replay = FleetReplay(
        Fleet.from_record(record, instances),
        POLICIES.get(policy)(),
        seed,
        status_seconds=status_seconds,
    )
    replay.run(calls)
    return PolicyResult(
        policy,
        Counter(call.outcome for call in calls),
        {kind: _group(calls, name) for kind, name in _GROUPS.items()},
        replay.store.loads,
        len(replay.store.pairs),
        replay.asked,
        {name: each.model.peak for name, each in replay.engines.items()},
    )


def _group(
    calls: Iterable[Call], name: Callable[[Call], str]
) -> dict[str, Counter[Outcome]]:
    found: defaultdict[str, Counter[Outcome]] = defaultdict(Counter)
    for call in calls:
        found[name(call)][call.outcome] += 1
    return dict(found)


def _counts(outcomes: Counter[Outcome]) -> dict[str, int]:
    return {each.value: outcomes[each] for each in Outcome}
