"""Measure wrongful refusals, overshoot and messages of the limits policies.

Runs the decision code on a virtual clock with delayed delivery:
`python -m benchmarks.measure_limits --seed 1`. A refusal is wrongful if a
single bucket, charged with the admitted requests in order of arrival, had
enough tokens.
"""

import argparse
from dataclasses import dataclass, fields

from tabulate import tabulate

from benchmarks.limits_fleet import (
    FAULT_AT,
    PARTITION_END,
    RUN_SECONDS,
    WARMUP_SECONDS,
    Run,
)
from mintlanding.limits.policies import POLICIES

RECOVERY_SECONDS = 12.0
CUSTOMERS = {'azulejo': (7, 6000.0), 'kettle-valley': (8, 9000.0)}
SCENARIOS = {
    'load 0.7': {'load': 0.7},
    'load 0.9': {'load': 0.9},
    'skewed callers 0.9': {'load': 0.9, 'skew': True},
    'one at 5x, others 0.7': {'load': 0.7, 'flood': True},
    'holder dies 0.7': {'load': 0.7, 'fault': 'death'},
    'holder dies in outage 0.7': {'load': 0.7, 'fault': 'outage'},
    'rolling replacement 0.7': {'load': 0.7, 'fault': 'replace'},
    'zone cut 0.7': {'load': 0.7, 'fault': 'cut'},
}


@dataclass
class Row:
    customer: str
    scenario: str
    policy: str
    requests: int
    refused_percent: float
    wrongful_percent: float
    wrongful_outside_faults_percent: float
    overshoot_tokens: float
    messages_s: float


def find_wrongful_refusals(run):
    """Return the arrival times of requests that were refused wrongfully."""
    levels = {
        name: (limit.burst, WARMUP_SECONDS)
        for name, limit in run.limits.items()
    }
    arrivals = []
    for each in run.requests.values():
        limit, (level, last) = (
            run.limits[each.workspace],
            levels[each.workspace],
        )
        level = min(limit.burst, level + (each.at - last) * limit.rate)
        if each.is_admitted:
            level -= each.tokens
        elif each.answered_at and level >= each.tokens:
            arrivals.append(each.at)
        levels[each.workspace] = (level, each.at)
    return arrivals


def measure_overshoot(run):
    """Return the most tokens above the limit that any period was granted."""
    worst = -1e18
    for name, limit in run.limits.items():
        admitted = [
            each
            for each in run.requests.values()
            if each.is_admitted and each.workspace == name
        ]
        level, last = 0.0, 0.0
        for each in sorted(admitted, key=lambda one: one.answered_at):
            level = (
                max(0, level - (each.answered_at - last) * limit.rate)
                + each.tokens
            )
            last = each.answered_at
            worst = max(worst, level - limit.burst)
    return worst


def build_row(run, customer, scenario):
    refusals, total = find_wrongful_refusals(run), len(run.requests)
    refused = sum(not each.is_admitted for each in run.requests.values())
    recovery = RECOVERY_SECONDS + (
        PARTITION_END - FAULT_AT if run.fault == 'cut' else 0
    )
    outside_faults = [
        at
        for at in refusals
        if not any(0 <= at - one <= recovery for one in run.faults)
    ]
    shares = [
        100 * count / total
        for count in (refused, len(refusals), len(outside_faults))
    ]
    return Row(
        customer,
        scenario,
        run.policy,
        total,
        *shares,
        measure_overshoot(run),
        run.sent / RUN_SECONDS / run.size,
    )


def rows(seed, customers=CUSTOMERS, scenarios=SCENARIOS):
    """Return a row for each customer, scenario and policy."""
    return [
        build_row(
            Run(policy, size, rate, seed, **options).simulate(),
            customer,
            scenario,
        )
        for customer, (size, rate) in customers.items()
        for scenario, options in scenarios.items()
        for policy in POLICIES.names()
    ]


def main():
    """Print the table of results."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seed', type=int, default=1)
    results = rows(parser.parse_args().seed)
    heads = [each.name for each in fields(Row)]
    print(
        tabulate(
            [vars(each).values() for each in results], heads, floatfmt='.3f'
        )
    )


if __name__ == '__main__':
    main()
