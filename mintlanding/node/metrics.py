"""Metrics of an instance in the Prometheus text format."""

import math
from collections.abc import Iterator, Mapping
from typing import Any

from mintlanding.http1.server import CallerServer
from mintlanding.node.clock import boot_seconds, loop_seconds
from mintlanding.node.limit_keeper import LimitKeeper
from mintlanding.node.membership import Membership
from mintlanding.node.relay import Relay
from mintlanding.node.stewards import Stewards
from mintlanding.node.store_watcher import StoreWatcher
from mintlanding.residency.order_history import WorkerOrders


def render_metrics(
    relay: Relay,
    stewards: Stewards,
    membership: Membership,
    limits: LimitKeeper,
    watcher: StoreWatcher,
) -> list[str]:
    """Return the lines of the metrics page."""
    lines = relay.log.render()
    lines.append(f'mintlanding_connections_opened_total {relay.opened}')
    lines.append(f'mintlanding_paths_opened_total {relay.connector.opened}')
    cut = len(relay.connector.cut_targets())
    lines.append(f'mintlanding_cut_targets {cut}')
    now = boot_seconds()
    lines.append(f'mintlanding_view_revision {watcher.revision}')
    lines.append(f'mintlanding_view_era {watcher.era}')
    lines.append(f'mintlanding_view_age_seconds {_number(watcher.age(now))}')
    lines.append(f'mintlanding_updates_missed_total {watcher.updates_missed}')
    reachable, members = membership.reach(now)
    lines.append(f'mintlanding_members {members}')
    lines.append(f'mintlanding_members_heard {reachable}')
    quarantined = len(relay.quarantines.parts.quarantined())
    lines.append(f'mintlanding_quarantined_parts {quarantined}')
    quarantined = len(relay.quarantines.requests.quarantined())
    lines.append(f'mintlanding_quarantined_requests {quarantined}')
    lines.append(f'mintlanding_limited_targets {limits.count()}')
    lines.append(f'mintlanding_brittle_targets {limits.count_brittle()}')
    lines.append(f'mintlanding_cold_targets {limits.count_cold()}')
    lines.append(f'mintlanding_evacuated_zones {relay.evacuated_zones}')
    invalid = relay.target_table.invalid_loads
    lines.append(f'mintlanding_invalid_load_reports_total {invalid}')
    for figures in relay.target_table.speeds.figures(loop_seconds()):
        label = f'{{target="{figures.target}"}}'
        lines.extend(
            (
                f'mintlanding_target_seconds{label} {figures.seconds:.4f}',
                f'mintlanding_target_knee{label} {figures.knee:.1f}',
                f'mintlanding_target_heard_age_seconds{label} '
                f'{_number(figures.age)}',
            )
        )
    for worker, steward in sorted(stewards.stewards.items()):
        label = f'{{worker="{worker}"}}'
        counters = steward.counters
        counts = {
            'running': steward.running,
            'queued': len(steward.queue),
            'grants_total': counters.grants,
            'refusals_total': counters.refusals,
            'loads_total': counters.loads,
            'unloads_total': counters.unloads,
            'order_conflicts_total': counters.conflicts,
            'orders_lost_total': counters.lost_orders,
            **_order_figures(stewards, worker),
            'prefill_tokens_per_second': round(steward.pace.prefill_rate),
            'prefill_pause_share': round(steward.pauses.share, 2),
        }
        lines.extend(
            f'mintlanding_worker_slots{{worker="{worker}",state="{state}"}} '
            f'{count}'
            for state, count in steward.adapter_slots.count_by_state(
                now
            ).items()
        )
        lines.extend(
            f'mintlanding_worker_{name}{label} {count}'
            for name, count in counts.items()
        )
    return lines


def render_capacity(relay: Relay, stewards: Stewards) -> list[str]:
    """Return the lines of instances that serve in a fair order."""
    lines = relay.reservations.capacity.render()
    lines.extend(
        f'mintlanding_worker_displaced_total{{worker="{worker}"}} '
        f'{steward.counters.displaced}'
        for worker, steward in sorted(stewards.stewards.items())
    )
    return lines


def render_budget(front: CallerServer) -> Iterator[str]:
    """Return what is held for callers, and what was given up."""
    budget = front.budget
    yield f'mintlanding_held_bytes_limit {budget.limit}'
    for kind, held in budget.kinds.items():
        yield f'mintlanding_held_bytes{{kind="{kind}"}} {held}'
    yield f'mintlanding_caller_connections {len(front.connections)}'
    yield f'mintlanding_caller_connections_limit {front.max_connections}'
    counts: dict[tuple[str, str], Mapping[Any, int]] = {
        ('messages_refused', 'status'): front.refusals,
        ('budget_refusals', 'reason'): budget.refusals,
        ('connections_given_up', 'reason'): budget.closed,
    }
    for (name, label), found in counts.items():
        for reason, count in sorted(found.items()):
            yield f'mintlanding_{name}_total{{{label}="{reason}"}} {count}'


def _order_figures(stewards: Stewards, worker: str) -> dict[str, int]:
    orders = stewards.order_history.workers.get(worker, WorkerOrders())
    return {
        'orders_given_up_total': orders.given_up,
        'fencing_token': orders.token,
        'fencing_token_changes_total': orders.token_changes,
        'orders_overtaking_total': orders.overtaking,
    }


def _number(amount: float) -> str:
    return f'{amount:.2f}' if math.isfinite(amount) else '+Inf'
