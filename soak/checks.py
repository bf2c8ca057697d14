"""Checks of promises against the records of callers and targets."""

from collections import Counter
from operator import attrgetter

from soak.callers import EVENTS, REFUSAL_STATUSES
from soak.late_callers import DEADLINE_SECONDS
from soak.world import (
    BUILDS,
    COLD_EXCESS,
    COLD_RATE,
    COLD_SLACK,
    CONTACT_SECONDS,
)

# Time between orders of two holders of an engine that the users require.
MIN_HANDOVER_SECONDS = 3.0
# Time after leaving in which requests may still reach a target.
DRAIN_SECONDS = 2.0
# Time after an evacuation in which requests may still reach the zone.
EVACUATION_SECONDS = 5.0
# Crashes under a part of a prompt after which requests with it must end.
KNOWN_CRASHES = 5
# Requests with the part that may still reach engines after that.
MAX_LATE_REQUESTS = 3
# Targets that one request may crash before it must not be sent any more.
DEADLY_CRASHES = 3
# Requests that may reach a target in a pause, and when the pause begins.
MAX_PAUSED_REQUESTS = 2
PAUSE_BEGIN_SECONDS = 0.5
# Crashes of brittle targets, and a tenth of their number, in one time.
MOST_ROOM_CRASHES = 2
# First tries at cut instances that may fail, and their share of all, unless
# these are served at this share of the rate of the others.
MOST_FAILED_TRIES = 10
FAILED_SHARE = 1 / 50
SERVED_SHARE = 2 / 3
# Time after a departure in which the request may still reach a target.
DEPARTURE_SECONDS = 0.5
# Time before its deadline in which a request may be given up.
DEADLINE_MARGIN_SECONDS = 0.1
# Seconds over which the requests to a target with a limit are counted.
LIMIT_WINDOW_SECONDS = 4.0


def find_broken_promises(world, callers):
    """Return a line for each promise that was broken."""
    runs = Counter(run[0] for target in world.targets for run in target.runs)
    return [
        *_find_repeated_runs(callers, runs),
        *_find_false_refusals(callers, runs),
        *_find_wrong_responses(callers),
        *find_overlapping_orders(world),
        *find_wrong_tokens(world),
        *_find_requests_after_leaving(world, callers),
        *_find_requests_to_evacuated_zones(world, callers),
        *_find_requests_that_crash_engines(world, callers),
        *_find_deadly_requests(world, callers),
        *_find_exceeded_limits(world, callers),
        *_find_floods_of_cold_targets(world, callers),
        *_find_room_crashes(world, callers),
        *_find_requests_after_announced_leaving(world, callers),
        *_find_requests_in_pauses(world, callers),
        *_find_tries_failed_at_cut_instances(world, callers),
        *find_streams_cut_by_stops(world),
        *_find_requests_after_departures(world),
        *_find_runs_cut_by_departures(world),
        *_find_unexpected_exits(world),
    ]


def _find_repeated_runs(callers, runs):
    return [
        f'{outcome.request} ({outcome.kind}) ran {runs[outcome.request]} times'
        for outcome in callers.outcomes
        if outcome.kind in {'order', 'live'} and runs[outcome.request] > 1
    ]


def _find_false_refusals(callers, runs):
    return [
        f'{outcome.request} was answered {outcome.status} and ran'
        for outcome in callers.outcomes
        if outcome.kind in {'order', 'live'}
        and outcome.status in REFUSAL_STATUSES
        and runs[outcome.request]
    ]


def _find_wrong_responses(callers):
    for outcome in callers.outcomes:
        if outcome.status != 200 or not outcome.is_whole:
            continue
        expected = b'done ' + outcome.request.encode()
        if outcome.kind == 'lookup':
            expected = b'done '
        if outcome.kind in {'live', 'batch'}:
            is_right = outcome.body in _whole_streams()
        else:
            is_right = outcome.body == expected
        if not is_right:
            yield f'{outcome.request} ({outcome.kind}) got {outcome.body!r}'


def _whole_streams():
    """Return the stream of each build; events of two do not fit together."""
    return [
        b''.join(
            b'id: %d\ndata: %b\n\n' % (number, build.encode())
            for number in range(1, EVENTS + 1)
        )
        for build in BUILDS
    ]


def _find_unexpected_exits(world):
    return [
        f'{each.name} ended by itself {len(each.unexpected_exits)} times, '
        f'with exit codes {each.unexpected_exits}'
        for each in world.instances
        if each.unexpected_exits
    ]


def find_overlapping_orders(world):
    """Find orders of two holders with too little time between them.

    An order that was held back counts when it was sent.
    """
    for engine in world.engines:
        arrivals = sorted(engine.arrivals_of_orders, key=attrgetter('sent_at'))
        lives = {order.life for order in arrivals}
        for life in sorted(lives):
            orders = [order for order in arrivals if order.life == life]
            yield from _overlaps(engine, orders)


def _overlaps(engine, orders):
    last = {}
    for order in orders:
        others = [at for name, at in last.items() if name != order.holder]
        gap = order.sent_at - max(others, default=float('-inf'))
        if gap < MIN_HANDOVER_SECONDS:
            yield (
                f'{engine.name}: {order.holder} ordered {gap:.2f} s after '
                f'another'
            )
        last[order.holder] = order.sent_at


def find_wrong_tokens(world):
    """Find orders under lower tokens, and tokens of two holders, on arrival.

    Each incarnation of an engine is taken for itself. No lateness is excused:
    within the turn of a holder the token stays, and the longest time for which
    an order is held back is shorter than the wait between two holders.
    """
    for engine in world.engines:
        highest, holders = {}, {}
        for order in engine.arrivals_of_orders:
            incarnation = order.born
            holder = holders.setdefault(
                (incarnation, order.token), order.holder
            )
            if holder != order.holder:
                yield (
                    f'{engine.name}: {order.holder} ordered under token '
                    f'{order.token} of {holder}'
                )
            before = highest.setdefault(incarnation, order)
            if order.token < before.token:
                yield (
                    f'{engine.name}: {order.holder} ordered under token '
                    f'{order.token}, {order.at - before.at:.2f} s after '
                    f'{before.token} of {before.holder}; held back for '
                    f'{order.held:.2f} s'
                )
            else:
                highest[incarnation] = order


def _find_requests_after_leaving(world, callers):
    for target in world.targets:
        ran = {run[0] for run in target.runs}
        for at, request, _ in target.requests:
            instance = callers.sent_to.get(request)
            for left, returned in target.absences:
                is_late = left + DRAIN_SECONDS < at < returned
                if (
                    is_late
                    and request in ran
                    and world.is_undisrupted(instance, at)
                ):
                    yield (
                        f'{request} reached {target.name} {at - left:.2f} s '
                        f'after it had left, from {instance.name}'
                    )


def _find_requests_to_evacuated_zones(world, callers):
    for target in world.targets:
        ran = {run[0] for run in target.runs}
        for at, request, _ in target.requests:
            instance = callers.sent_to.get(request)
            if request not in ran or not world.is_undisrupted(instance, at):
                continue
            for zone, begin, end in world.empty:
                if (
                    zone == target.zone
                    and begin + EVACUATION_SECONDS < at < end
                ):
                    yield (
                        f'{request} reached {target.name} {at - begin:.2f} s '
                        f'after its zone was evacuated, from {instance.name}'
                    )


def _find_requests_that_crash_engines(world, callers):
    crashes = {}
    for engine in world.engines:
        for at, part in engine.crash_times:
            crashes.setdefault(part, []).append(at)
    for part, times in crashes.items():
        if len(times) < KNOWN_CRASHES:
            continue
        known_at = sorted(times)[KNOWN_CRASHES - 1] + CONTACT_SECONDS
        late = [
            request
            for engine in world.engines
            for at, request, parts in engine.requests
            if part in parts
            and at > known_at
            and world.is_undisrupted(callers.sent_to.get(request), at)
        ]
        if len(late) > MAX_LATE_REQUESTS:
            yield f'{len(late)} requests with {part} after {len(times)} crashes'


def _find_deadly_requests(world, callers):
    runs = {}
    for target in world.targets:
        for at, request, body in target.deadly_runs:
            runs.setdefault(body, []).append((at, request))
    for body, each in runs.items():
        each.sort()
        if len(each) < DEADLY_CRASHES:
            continue
        known_at = each[DEADLY_CRASHES - 1][0] + CONTACT_SECONDS
        late = [
            request
            for at, request in each
            if at > known_at
            and world.is_undisrupted(callers.sent_to.get(request), at)
        ]
        if len(late) > MAX_LATE_REQUESTS:
            yield f'{len(late)} runs of {body} after it had crashed three targets'


def _find_exceeded_limits(world, callers):
    for target in world.targets:
        for begin, end, limit in target.limits:
            named = [at for at, *_ in target.requests if at >= begin]
            if not named:
                continue
            known_at = min(named) + CONTACT_SECONDS
            times = [
                at
                for at, request, _ in target.requests
                if known_at <= at < end
                and world.is_undisrupted(callers.sent_to.get(request), at)
            ]
            allowed = limit * LIMIT_WINDOW_SECONDS * 1.5 + 5
            most = max(
                (
                    sum(
                        first <= at < first + LIMIT_WINDOW_SECONDS
                        for at in times
                    )
                    for first in times
                ),
                default=0,
            )
            if most > allowed:
                yield (
                    f'{target.name} with a limit of {limit} got {most} '
                    f'requests in {LIMIT_WINDOW_SECONDS} s, {allowed} allowed'
                )


def _find_floods_of_cold_targets(world, callers):
    """Find seconds in which a cold target got too many requests.

    The entry reaches the instances within the time of a contact.
    """
    allowed = COLD_RATE * COLD_EXCESS + COLD_SLACK
    for target, begin, end in world.cold:
        times = [
            at
            for at, request, _ in target.requests
            if begin + CONTACT_SECONDS <= at < end
            and world.is_undisrupted(callers.sent_to.get(request), at)
        ]
        most = max(
            (sum(first <= at < first + 1 for at in times) for first in times),
            default=0,
        )
        if most > allowed:
            yield (
                f'{target.name}, which was cold, got {most} requests in a '
                f'second, {allowed} allowed'
            )


def _find_room_crashes(world, callers):
    """Find too many crashes of brittle targets in one time of a service.

    One counts if most of what was refused came from undisrupted instances.
    """
    for targets in (world.plain, world.engines):
        times = {tuple(each) for one in targets for each in one.brittle_times}
        begins = sorted(times)
        most = MOST_ROOM_CRASHES + len(targets) / 10
        for begin, end in _merge_times(begins):
            crashes = [
                at
                for target in targets
                for at, refused in target.room_crashes
                if begin <= at <= end
                and 2
                * sum(
                    world.is_undisrupted(callers.sent_to.get(name), at)
                    for name in refused
                )
                > len(refused)
            ]
            if len(crashes) > most:
                yield (
                    f'{len(crashes)} crashes of brittle targets of '
                    f'{targets[0].service}, {most} allowed'
                )


def _merge_times(times):
    """Merge the times of the targets of a service, a moment apart at most."""
    merged = []
    for begin, end in times:
        if merged and begin < merged[-1][0] + 0.1:
            merged[-1][1] = max(merged[-1][1], end)
        else:
            merged.append([begin, end])
    return merged


def _find_requests_after_announced_leaving(world, callers):
    for target in world.targets:
        ran = {run[0] for run in target.runs}
        for begin, end in target.announced:
            first = {}
            for at, request, _ in target.requests:
                instance = callers.sent_to.get(request)
                if not begin <= at < end or request not in ran:
                    continue
                told_at = first.setdefault(instance, at)
                if at > told_at + DRAIN_SECONDS and world.is_undisrupted_since(
                    instance, told_at, at
                ):
                    yield (
                        f'{request} reached {target.name} {at - told_at:.2f} s '
                        f'after it had told {instance.name} that it leaves'
                    )


def _find_requests_in_pauses(world, callers):
    for target in world.targets:
        for begin, turned_away, seconds in target.pauses:
            instance = callers.sent_to.get(turned_away)
            # Processes of another run may call a port that is used again.
            if instance is None:
                continue
            late = [
                request
                for at, request, _ in target.requests
                if begin + PAUSE_BEGIN_SECONDS < at < begin + seconds
                and callers.sent_to.get(request) is instance
                and world.is_undisrupted_since(instance, begin, at)
            ]
            if len(late) > MAX_PAUSED_REQUESTS:
                yield (
                    f'{len(late)} requests of {instance.name} reached '
                    f'{target.name}, which had asked for {seconds} s of pause'
                )


def find_streams_cut_by_stops(world):
    """Find streams that a planned stop accepted and cut off.

    Their target was at work when its connection was closed. Without an answer
    a request may have crossed the close of its connection.
    """
    cut = {request for each in world.targets for _, request in each.cut_runs}
    for stream in world.late_streams:
        is_late = stream.used > DEADLINE_SECONDS - DEADLINE_MARGIN_SECONDS
        if stream.is_whole or is_late or stream.request not in cut:
            continue
        if _is_only_stopped(world, stream):
            yield (
                f'{stream.request} at {stream.instance.name}, asked for '
                f'{stream.sent_at - stream.disruption[0]:.2f} s into a planned '
                f'stop, was cut off after {stream.used:.2f} s'
            )


def _is_only_stopped(world, stream):
    """Tell whether nothing but its planned stop disrupted an instance."""
    begin = stream.sent_at - CONTACT_SECONDS
    has_targets = not any(
        stream.instance in instances
        and start <= stream.ended_at
        and end >= begin
        for start, end, instances in world.cuts
    )
    return has_targets and world.is_undisrupted_since(
        stream.instance, begin, stream.ended_at, stream.disruption
    )


def _find_requests_after_departures(world):
    """Find requests that were sent long after their callers had left."""
    left = {each.request: each for each in world.departures}
    late = []
    for target in world.targets:
        for at, request, _ in target.requests:
            departure = left.get(request)
            if departure is None or at <= departure.left_at + DEPARTURE_SECONDS:
                continue
            since = departure.left_at - CONTACT_SECONDS
            if world.is_undisrupted_since(departure.instance, since, at):
                late.append(f'{request} {at - departure.left_at:.2f} s')
    if late:
        yield (
            f'{len(late)} requests reached targets after their callers had '
            f'left: {", ".join(late[:5])}'
        )


def _find_runs_cut_by_departures(world):
    """Find orders that were broken off at a target as their callers left."""
    left = {each.request: each for each in world.departures}
    for target in world.targets:
        for at, request in target.cut_runs:
            departure = left.get(request)
            if departure is None or departure.kind != 'order':
                continue
            since = departure.left_at - CONTACT_SECONDS
            if world.is_undisrupted_since(departure.instance, since, at):
                yield (
                    f'{request} was broken off at {target.name} '
                    f'{at - departure.left_at:.2f} s after its caller left'
                )


def _find_tries_failed_at_cut_instances(world, callers):
    """Find cuts from the targets in which callers noticed the cut.

    Only undisrupted instances count, while there is one that is not cut.
    """
    for begin, end, instances in world.cuts:
        others = [each for each in world.instances if each not in instances]
        tries = [
            each
            for each in callers.first_tries
            if begin + CONTACT_SECONDS <= each.sent_at < end
            and _is_in_touch(world, each.instance, each)
            and any(_is_in_touch(world, other, each) for other in others)
        ]
        cut = [each.is_served for each in tries if each.instance in instances]
        whole = [each.is_served for each in tries if each.instance in others]
        allowed = MOST_FAILED_TRIES + len(tries) * FAILED_SHARE
        if cut.count(False) <= allowed:
            continue
        if _share(cut) < SERVED_SHARE * _share(whole):
            names = ' '.join(each.name for each in instances)
            yield (
                f'{names}, cut off from targets for {end - begin:.1f} s, served '
                f'{sum(cut)} of {len(cut)} first tries, the others '
                f'{sum(whole)} of {len(whole)}'
            )


def _is_in_touch(world, instance, attempt):
    since = attempt.sent_at - CONTACT_SECONDS
    return world.is_undisrupted_since(instance, since, attempt.ended_at)


def _share(served):
    return sum(served) / len(served) if served else 0
