"""Compare placement policies with baselines.

Run: `python -m benchmarks.measure --seed 1`.
"""

import argparse
import importlib
import importlib.util
import time
from dataclasses import fields

from tabulate import tabulate

from benchmarks.measure_placement import WARMUP_SECONDS, Run
from benchmarks.scenarios import NIGHT, POLICIES, SCENARIOS, SITES
from mintlanding.placement.messages import Priority

COLUMNS = (
    'site',
    'scenario',
    'policy',
    'stalled %',
    'p50 s',
    'p95 s',
    'p99 s',
    'refused %',
    'batch eff',
    'worst ws',
    'ws p99 wait s',
    'loads/s',
    'allowed',
    'engine use',
    'summaries %',
    'last s',
)


def percentile(values, share):
    ordered = sorted(values)
    if not ordered:
        return 0
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def build_fair_division(offered, shares):
    """Return a function that divides capacity by weighted max-min fairness."""

    def divide(capacity):
        remaining, unsatisfied, allotted = capacity, set(offered), {}
        while unsatisfied:
            weight = sum(shares[each] for each in unsatisfied)
            level = remaining / weight
            satisfied = {
                each
                for each in unsatisfied
                if offered[each] <= level * shares[each]
            }
            if not satisfied:
                allotted.update(
                    {each: level * shares[each] for each in unsatisfied}
                )
                break
            for each in satisfied:
                allotted[each] = offered[each]
                remaining -= offered[each]
            unsatisfied -= satisfied
        return allotted

    return divide


def build_row(run):
    tally, site = run.tally, run.site
    seconds = run.loop.now - WARMUP_SECONDS
    engines = [node.engine for node in run.nodes]
    steps = [e.steps - m[0] for e, m in zip(engines, run.start_counts)]
    request_steps = sum(
        e.request_steps - m[1] for e, m in zip(engines, run.start_counts)
    )
    possible = sum(steps) * site.batch_limit
    total = sum(tally.served.values())
    fair = build_fair_division(tally.offered, site.shares)(total)
    shares = {
        each: tally.served[each] / fair[each] for each in fair if fair[each]
    }
    worst = min(shares.values(), default=0)
    waits = [percentile(each, 0.99) for each in tally.waits.values()]
    stalled = [each for each in tally.stalls if each > 0]
    done = tally.summaries_done / site.summaries if site.summaries else 0
    is_night = run.scenario.summaries
    full = seconds / (0.02 + 0.0002 * site.batch_limit) * len(engines)
    return (
        site.name,
        run.scenario.name,
        run.policy.name,
        f'{100 * len(stalled) / max(1, len(tally.stalls)):.1f}',
        f'{percentile(tally.stalls, 0.5):.2f}',
        f'{percentile(tally.stalls, 0.95):.2f}',
        f'{percentile(tally.stalls, 0.99):.2f}',
        f'{100 * tally.refused / max(1, len(tally.stalls)):.1f}',
        f'{request_steps / max(1, possible):.3f}',
        f'{worst:.3f}',
        f'{max(waits):.2f}',
        f'{(run.store.granted - run.loads_before) / seconds:.2f}',
        f'{site.loads_per_second}',
        f'{request_steps / (full * site.batch_limit):.2f}',
        f'{100 * done:.1f}' if is_night else '-',
        f'{tally.last_summary - WARMUP_SECONDS:.0f}' if is_night else '-',
    )


def show(cells, widths):
    line = (str(cell).ljust(width) for cell, width in zip(cells, widths))
    print('  '.join(line).rstrip(), flush=True)


def show_limits(seed):
    """Print the table of `benchmarks.measure_limits` if it exists."""
    if importlib.util.find_spec('benchmarks.measure_limits') is None:
        return
    rows = importlib.import_module('benchmarks.measure_limits').rows(seed)
    heads = [each.name for each in fields(rows[0])]
    cells = [vars(each).values() for each in rows]
    print(f'\n{tabulate(cells, heads, floatfmt=".3f")}')


def plot(path, runs):
    import matplotlib

    matplotlib.use('Agg')
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(1, len(SITES), figsize=(12, 5))
    for axis, site in zip(axes, SITES):
        for run in runs:
            if run.site is site and run.scenario.name == 'steady':
                ordered = sorted(run.tally.stalls)
                shares = [i / len(ordered) for i in range(len(ordered))]
                axis.plot(ordered, shares, label=run.policy.name)
        axis.set(title=site.name, xlabel='stall by loads, s', ylim=(0.3, 1))
        axis.legend()
    figure.savefig(path)


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--plot', metavar='FILE')
    parser.add_argument('--site', default='')
    parser.add_argument('--scenario', default='')
    parser.add_argument('--policy', default='')
    options = parser.parse_args()
    started, runs = time.monotonic(), []
    widths = [max(len(name), 5) for name in COLUMNS]
    widths[:3] = 13, 11, 21
    show(COLUMNS, widths)
    for site in SITES:
        scenarios = SCENARIOS + ((NIGHT,) if site.summaries else ())
        for scenario in scenarios:
            for policy in POLICIES:
                names = (site.name, scenario.name, policy.name)
                wanted = (options.site, options.scenario, options.policy)
                if not all(w in n for w, n in zip(wanted, names)):
                    continue
                runs.append(Run(site, scenario, policy, options.seed).run())
                show(build_row(runs[-1]), widths)
    show_limits(options.seed)
    if options.plot:
        plot(options.plot, runs)
    print(f'\nseed {options.seed}, {time.monotonic() - started:.0f} s of time')


if __name__ == '__main__':
    main()
