"""Instances that follow evacuations and cold targets on a simulated clock.

Views, send gates, keepers of limits and admissions are real. The store, the
delivery of its changes, links, targets and callers are played. The fleet also
is the oracle: it knows the true state of the store and of the targets, and what
each instance was told.
"""

import asyncio
import bisect
import random
from collections import deque
from types import SimpleNamespace

from mintlanding.coordination.transactional_store import Change, Item, Snapshot
from mintlanding.evacuation.zones import ENTRY_DELAY
from mintlanding.http1.models import ClientOptions
from mintlanding.node.admissions import Admissions
from mintlanding.node.limit_keeper import LimitKeeper
from mintlanding.node.send_gate import SendGate
from mintlanding.node.settings import Bounds, FleetOptions, RelayOptions
from mintlanding.node.stewards import Stewards
from mintlanding.node.tests.fleet_on_paper import (
    DELAY,
    STATUS_SECONDS,
    Fleet,
    Member,
)
from mintlanding.node.view import FleetView
from mintlanding.platform import records
from mintlanding.platform.tests.samples import CONFIG, ENTRY, encode
from mintlanding.residency.messages import AdmissionRequest, GrantOutcome
from mintlanding.residency.models import StewardOptions
from mintlanding.traffic.header_fields import TargetResponse

# Seconds within which all instances in contact follow a change.
BOUND = 5.0
# Seconds for which a target is cold after a start.
COLD_SECONDS = 3.0
# Seconds between two writes of a target's entry.
HEARTBEAT = 1.0
# Seconds until the entry of a target that ended is gone.
TARGET_LEASE = 2.0
# Requests per second to all members together: the least, and as a multiple of
# what a cold target bears.
LEAST_FLOOD = 24
FLOOD = 4
# Seconds after which a listing is requested in place of a lost change.
LISTING_AFTER = 1.5
# Longest delay of an answer of the store, and of a change that is late.
LISTING_DELAY = 0.5
LATE = 1.5
# Older copies from which the store may return.
COPIES = 6

SERVICE = 'orders'


def config_with(rate):
    """Return a configuration in which cold targets bear a rate."""
    service = {'name': SERVICE, 'cold_s': COLD_SECONDS, 'cold_per_s': rate}
    services = [CONFIG['services'][0], service]
    return records.decode_config(encode({**CONFIG, 'services': services}))


def evacuation_key(zone):
    return records.EVACUATIONS_PREFIX + zone


def target_key(name):
    return records.TARGETS_PREFIX + name


class Store:
    """The current records, older copies, and when facts changed last.

    A fact is an evacuation, or which run of a target is registered.
    """

    def __init__(self, clock):
        self.clock = clock
        self.items = {}
        self.revision = 1
        self.era = 1
        self.copies = deque(maxlen=COPIES)
        self.facts = {}
        self.changed_at = {}

    def put(self, key, content):
        self.revision += 1
        self.items[key] = Item(key, content, self.revision)
        self._update_facts()
        return Change(key, self.revision, self.items[key])

    def remove(self, key):
        if self.items.pop(key, None) is None:
            return None
        self.revision += 1
        self._update_facts()
        return Change(key, self.revision)

    def snapshot(self):
        return Snapshot(tuple(self.items.values()), self.revision, era=self.era)

    def save_copy(self):
        self.copies.append((dict(self.items), self.revision))

    def return_from_copy(self, age):
        items, self.revision = self.copies[-1 - age % len(self.copies)]
        self.items = dict(items)
        self.era += 1
        self._update_facts()

    def is_evacuated(self, zone):
        return evacuation_key(zone) in self.items

    def lasts(self, key):
        """Return for how many seconds a fact has been as it is."""
        return self.clock() - self.changed_at.get(key, float('-inf'))

    def _update_facts(self):
        facts = {key: fact_of(item) for key, item in self.items.items()}
        for key in facts.keys() | self.facts.keys():
            if facts.get(key) != self.facts.get(key):
                self.changed_at[key] = self.clock()
        self.facts = facts


def fact_of(item):
    if not item.key.startswith(records.TARGETS_PREFIX):
        return True
    return records.decode_target(item.key, item.content).incarnation


class Backend:
    """One run of a target."""

    def __init__(self, name, zone, incarnation):
        self.name = name
        self.zone = zone
        self.incarnation = incarnation
        self.cold_until = float('-inf')
        # Limit in requests per second that its responses name.
        self.named = None
        # When requests arrived by which the rate is judged, and all.
        self.judged_at = []
        self.arrived_at = []


class Told:
    """What an instance was told: the newest state of each record wins."""

    def __init__(self):
        self.era = 0
        self.revisions = {}
        self.evacuated = set()
        self.returned_at = {}
        # Run of each target, and until when it is cold by its entry.
        self.cold = {}

    def change(self, change, now):
        if change.revision <= self.revisions.get(change.key, 0):
            return
        self.revisions[change.key] = change.revision
        if change.key.startswith(records.TARGETS_PREFIX):
            name = change.key.removeprefix(records.TARGETS_PREFIX)
            self.cold.pop(name, None)
            if change.item is not None:
                entry = records.decode_target(change.key, change.item.content)
                if entry.cold_time:
                    until = now + entry.cold_time
                    self.cold[name] = (entry.incarnation, until)
            return
        zone = change.key.removeprefix(records.EVACUATIONS_PREFIX)
        if change.item is not None:
            self.evacuated.add(zone)
        elif zone in self.evacuated:
            self.evacuated.remove(zone)
            self.returned_at[zone] = now

    def listing(self, snapshot, now):
        if snapshot.era != self.era:
            self.era = snapshot.era
            self.revisions = dict.fromkeys(self.revisions, 0)
        listed = {item.key for item in snapshot.items}
        for key, revision in tuple(self.revisions.items()):
            if key not in listed and revision <= snapshot.revision:
                self.change(Change(key, snapshot.revision), now)
        for item in snapshot.items:
            self.change(Change(item.key, item.revision, item), now)

    def cold_until(self, backend):
        """Return until when a run of a target is cold by what was told."""
        incarnation, until = self.cold.get(backend.name, (0, 0))
        if incarnation != backend.incarnation:
            until = 0
        returned_at = self.returned_at.get(backend.zone, float('-inf'))
        return max(until, returned_at + COLD_SECONDS + ENTRY_DELAY)


class Instance(Member):
    """One process with a real view and a real send gate."""

    def __init__(self, fleet, name):
        self.fleet = fleet
        self.name = name
        self.is_leaving = self.ended = False
        self.heard = {}
        self.unreached = {}
        self.membership = SimpleNamespace(
            instance=name,
            is_reachable=self.is_reachable,
            elected=self.elected,
            unreached_by=lambda member: self.unreached.get(member, ()),
            reach=self.count_reached,
            mesh=SimpleNamespace(send=self.send, redial=lambda member: None),
        )
        self.view = FleetView(records)
        self.view.config = fleet.config
        self.view.listeners.append(self._follow)
        cfg = SimpleNamespace(
            bounds=Bounds(),
            relay=RelayOptions(),
            fleet=FleetOptions(),
            steward=StewardOptions(),
            client=ClientOptions(),
        )
        rnd = random.Random(name)
        self.limits = LimitKeeper(cfg, self.view, self.membership, rnd)
        self.stewards = Stewards(
            cfg, self.view, self.membership, None, self.limits, rnd
        )
        self.admissions = Admissions(
            cfg, self.view, self.membership, self.stewards, self.limits
        )
        quarantines = SimpleNamespace(
            refusal=lambda plan: ('', 0), begin_trial=lambda plan: None
        )
        self.gate = SendGate(self.view, quarantines, self.limits)
        self.told = Told()
        self.has_store = True
        # Whether changes were missed since the last listing was requested.
        self.is_behind = True
        # Whether a listing is under way, and another one has to follow it.
        self.is_listing = self.wants_listing = False
        # Since when it hears of all changes in time, None if it does not.
        self.contact_since = None
        # How changes reach it.
        self.is_late = self.is_repeated = False
        # Share of the changes that never arrive.
        self.loss = 0

    def _follow(self, topic):
        if topic in {'cold targets', 'evacuations'}:
            self.limits.update()

    def update(self):
        self.limits.update()

    def send(self, member, message):
        # Another process may have its name by now.
        return not self.ended and super().send(member, message)


class EvacuationFleet(Fleet):
    """Instances, their links, the store, targets in zones, and callers."""

    def __init__(self, loop, rnd, rate):
        super().__init__(loop, None, 0, rnd)
        self.config = config_with(rate)
        self.service = self.config.services[SERVICE]
        # Requests per second that a cold target bears, the most in any second.
        self.rate = rate
        self.most = rate * Bounds().cold_excess + Bounds().cold_slack
        self.flood_rate = max(LEAST_FLOOD, FLOOD * rate)
        # Target that callers prefer.
        self.preferred = ''
        self.store = Store(loop.time)
        self.backends = {}
        self.starts = 0
        self.violations = []
        # Until when some instance may take a target for cold.
        self.known_cold_until = {}

    @property
    def now(self):
        return self.loop.time()

    def run(self, seconds):
        self.loop.run_until_complete(asyncio.sleep(seconds))

    # Instances and their contact to the store.

    def add(self, name):
        member = Instance(self, name)
        self.members[name] = member
        self.records.add(name)
        self.spawn(self._run(member))
        # It serves once it has a listing.
        self._load(member, self.store.snapshot(), 0)
        member.is_behind = False
        self.update_contacts()

    def kill(self, name):
        super().kill(name)
        self.update_contacts()

    def leave(self, name):
        super().leave(name)
        self.update_contacts()

    def holder(self, target):
        """Return the member that most members elect for a target."""
        elected = [each.elected(target) for each in self.members.values()]
        return max(sorted(elected), key=elected.count, default='')

    def cut_store(self, name):
        self.members[name].has_store = False
        self.update_contacts()

    def heal_store(self, name):
        member = self.members[name]
        if not member.has_store:
            member.has_store = True
            self.update_contacts()
            self._request_listing(member)

    def cut_in_groups(self, *groups):
        super().cut_in_groups(*groups)
        self.update_contacts()

    def heal(self):
        super().heal()
        self.update_contacts()

    def update_contacts(self):
        """Record which instances hear of changes, themselves or by others.

        One that missed changes without the store needs a listing.
        """
        for member in self.members.values():
            hears = member.has_store or any(
                other.has_store and not other.is_behind
                for other in self.members.values()
                if (other.name, member.name) not in self.silent_links
            )
            if not hears:
                member.is_behind = True
            if not hears or (member.is_behind and not member.has_store):
                member.contact_since = None
            elif member.contact_since is None:
                member.contact_since = self.now

    def is_in_contact(self, member):
        since = member.contact_since
        return since is not None and self.now >= since + BOUND

    def _request_listing(self, member):
        self.loop.call_later(
            self.rnd.uniform(0, LISTING_AFTER), self._list, member
        )

    def _list(self, member):
        if member.ended or not member.has_store:
            return
        # An instance requests one listing at a time.
        member.wants_listing = member.is_listing
        if member.is_listing:
            return
        member.is_listing = True
        # What changes after the listing is delivered as changes.
        member.is_behind = False
        self.update_contacts()
        self.loop.call_later(
            self.rnd.uniform(0, LISTING_DELAY),
            self._end_listing,
            member,
            self.store.snapshot(),
            member.view.as_of,
        )

    def _end_listing(self, member, snapshot, known):
        member.is_listing = False
        self._load(member, snapshot, known)
        if member.wants_listing:
            self._list(member)

    def _load(self, member, snapshot, known):
        if member.ended:
            return
        member.told.listing(snapshot, self.now)
        member.view.load(snapshot, self.now, known)
        self._record_known(member)

    # The store and the delivery of its changes.

    def write(self, key, content):
        self._publish(self.store.put(key, content))

    def erase(self, key):
        change = self.store.remove(key)
        if change is not None:
            self._publish(change)

    def return_from_copy(self, age):
        self.store.return_from_copy(age)
        for member in self.members.values():
            member.is_behind = True
            if member.has_store:
                self._request_listing(member)
        self.update_contacts()
        for key in self.store.items:
            if key.startswith(records.TARGETS_PREFIX):
                self.loop.call_later(TARGET_LEASE, self._lapse_entry, key)

    def _lapse_entry(self, key):
        if key.removeprefix(records.TARGETS_PREFIX) not in self.backends:
            self.erase(key)

    def _publish(self, change):
        for member in self.members.values():
            if member.is_behind:
                continue
            # Without the store nothing would make up for a lost change.
            if member.has_store and self.rnd.random() < member.loss:
                self._request_listing(member)
                continue
            for _ in range(1 + member.is_repeated):
                most = LATE if member.is_late else 0.2
                delay = self.rnd.uniform(0.005, most)
                self.loop.call_later(
                    delay, self._tell, member, change, self.store.era
                )

    def _tell(self, member, change, era):
        if member.ended or era < member.view.era:
            return
        if era > member.view.era:
            # Its listing of that era is under way, and changes follow it.
            if era == self.store.era and not member.is_behind:
                self.loop.call_later(0.05, self._tell, member, change, era)
            return
        member.told.change(change, self.now)
        member.view.apply(change, self.now)
        self._record_known(member)

    def _record_known(self, member):
        for name, backend in self.backends.items():
            until = max(
                member.told.cold_until(backend),
                self.known_cold_until.get(name, 0),
            )
            self.known_cold_until[name] = until

    # Evacuations and targets.

    def evacuate(self, zone):
        self.store.save_copy()
        self.write(evacuation_key(zone), b'{}')

    def take_back(self, zone, is_cold):
        self.store.save_copy()
        if is_cold and self.store.is_evacuated(zone):
            for backend in self.backends.values():
                if backend.zone == zone:
                    backend.cold_until = self.now + COLD_SECONDS
        self.erase(evacuation_key(zone))

    def start_target(self, name, zone, cold):
        """Start a target, or start it again."""
        self.store.save_copy()
        self.starts += 1
        backend = Backend(name, zone, self.starts)
        backend.cold_until = self.now + cold
        self.backends[name] = backend
        self.spawn(self._beat(backend))

    def chill(self, name, seconds):
        backend = self.backends.get(name)
        if backend is not None:
            backend.cold_until = self.now + seconds
            self._write_entry(backend)

    def end_target(self, name):
        self.store.save_copy()
        if self.backends.pop(name, None) is not None:
            self.erase(target_key(name))

    async def _beat(self, backend):
        while self.backends.get(backend.name) is backend:
            self._write_entry(backend)
            await asyncio.sleep(HEARTBEAT)

    def _write_entry(self, backend):
        left = max(0, backend.cold_until - self.now)
        entry = {
            **ENTRY,
            'service': SERVICE,
            'addr': '127.0.0.1:8080',
            'zone': backend.zone,
            'models': [],
            'cold_ms': round(left * 1000),
            'born': backend.incarnation,
        }
        self.write(target_key(backend.name), encode(entry))

    # Callers.

    async def _call(self, member):
        plan = SimpleNamespace(
            service=self.service,
            homes=None,
            began_at_build=None,
            deadline=self.now + 9,
            is_sent=False,
            req=SimpleNamespace(is_disconnected=False, is_streaming=False),
            turn=None,
            turn_at=0,
            turn_asked_at=0,
        )
        # The second attempt is a retry.
        tried = set()
        for _ in range(2):
            targets = [
                each
                for each in member.gate.candidates(plan)
                if each.target not in tried
            ]
            if not targets:
                return
            preferred = [one for one in targets if one.target == self.preferred]
            targets.sort(key=lambda one: one.key)
            target = self.rnd.choice(preferred or targets)
            tried.add(target.target)
            if await self._attempt(member, plan, target):
                return

    async def _attempt(self, member, plan, target):
        name = f'{member.name}.{next(self.number)}'
        outcome = GrantOutcome.unused
        asks = member.limits.needs_turn(target)
        if asks:
            plan.turn_asked_at = self.now
            reply = await member.admissions.take_turn(
                self._request(member, name, target)
            )
            if not reply.is_granted or member.ended:
                return False
            plan.turn, plan.turn_at = target.key, self.now
        # A connection opens.
        await asyncio.sleep(DELAY * self.rnd.choice([0.5, 1, 1, 10]))
        if member.ended:
            return True
        is_sent = member.gate.check(plan, target) is None
        if is_sent:
            outcome = GrantOutcome.served
            self._arrive(member, target)
        if asks:
            member.admissions.end(target.target, name, outcome)
        return is_sent

    def _request(self, member, name, target):
        # Some wait for longer than the bound of an evacuation.
        max_wait = self.rnd.choice([0.1, 0.5, 7.0])
        return AdmissionRequest(
            request_id=name,
            worker=target.target,
            model='',
            adapter='',
            workspace='',
            prompt_tokens=0,
            output_tokens=0,
            priority=1,
            objective=2.0,
            max_wait=max_wait,
            deadline=9.0,
            reroute_wait=max_wait,
            limits=member.limits.table.report(target.key, self.now),
            cold=member.limits.report_cold(target),
        )

    def _arrive(self, member, target):
        """Judge a request that is sent."""
        zone = evacuation_key(target.zone)
        backend = self.backends.get(target.target)
        if backend is None or backend.incarnation != target.incarnation:
            # Nothing listens there, or another run answers with 421.
            return
        if (
            self.store.is_evacuated(target.zone)
            and self.store.lasts(zone) >= BOUND
            and self.is_in_contact(member)
        ):
            self.violations.append(
                f'{self.now:.2f}: {member.name} sends to {target.target}'
            )
        backend.arrived_at.append(self.now)
        # Open point of the design: an instance that was not told yet sends
        # without asking the holder.
        if self.now < min(backend.cold_until, member.told.cold_until(backend)):
            backend.judged_at.append(self.now)
            first = bisect.bisect_right(backend.judged_at, self.now - 1)
            count = len(backend.judged_at) - first
            if count > self.most:
                self.violations.append(
                    f'{self.now:.2f}: {count} requests at {target.target}'
                )
        response = TargetResponse(
            status=200,
            matches_request=True,
            is_signed=True,
            is_not_run=False,
            is_misdirected=False,
            limit=backend.named,
        )
        self.loop.call_later(
            DELAY, self._respond, member, target, response, self.now
        )

    def _respond(self, member, target, response, sent_at):
        if not member.ended:
            member.limits.record_response(target, response, sent_at)

    async def _flood(self):
        while True:
            names = sorted(self.members)
            if names:
                member = self.members[names[next(self.number) % len(names)]]
                self.spawn(self._call(member))
            await asyncio.sleep(self.rnd.uniform(0, 2) / self.flood_rate)

    def start_flood(self):
        self.spawn(self._flood())

    async def _run(self, member):
        await asyncio.sleep(self.rnd.uniform(0, STATUS_SECONDS))
        while not member.ended:
            # Open point of the design: members that differ about who is
            # registered may exceed the rate, so that all learn it at once.
            member.view.members = dict.fromkeys(sorted(self.records))
            for each in member.view.members:
                if each != member.name:
                    unreached = member.limits.unreached(self.now)
                    self.deliver(member.name, each, unreached)
            member.update()
            await asyncio.sleep(STATUS_SECONDS * self.rnd.uniform(0.9, 1.1))

    # What must hold at any time.

    def is_warm(self, backend):
        """Tell whether all must know that a target is not cold any more."""
        key = target_key(backend.name)
        # A report counts for as long as an entry may take.
        known = self.known_cold_until.get(backend.name, 0) + ENTRY_DELAY
        return (
            self.now > backend.cold_until + BOUND
            and self.now > known + STATUS_SECONDS
            and self.store.lasts(key) > BOUND
        )

    def check(self):
        assert not self.violations, self.violations[0]
        plan = SimpleNamespace(
            service=self.service, homes=None, began_at_build=None
        )
        for member in self.members.values():
            if not self.is_in_contact(member):
                continue
            candidates = {each.key for each in member.gate.candidates(plan)}
            for name, backend in self.backends.items():
                zone = evacuation_key(backend.zone)
                if self.store.lasts(target_key(name)) < BOUND:
                    continue
                if self.store.lasts(zone) >= BOUND:
                    is_used = (name, backend.incarnation) in candidates
                    is_evacuated = self.store.is_evacuated(backend.zone)
                    assert is_used != is_evacuated, (member.name, name)
                self._check_limit(member, backend)

    def _check_limit(self, member, backend):
        target = member.view.targets[backend.name]
        named = member.limits.table.limit(target.key)
        limit = member.limits.limit(target)
        if self.is_warm(backend):
            assert limit == named, (member.name, backend.name, limit)
        elif self.now < member.told.cold_until(backend):
            most = self.rate if named is None else min(self.rate, named)
            assert limit == most, (member.name, backend.name, limit)

    def check_all_are_used(self, seconds):
        """Heal all; each target must get requests in the last seconds."""
        self.preferred = ''
        for name in tuple(self.members):
            self.heal_store(name)
            member = self.members[name]
            member.is_late, member.loss = False, 0
        self.heal()
        for backend in self.backends.values():
            self.erase(evacuation_key(backend.zone))
        self.run(BOUND)
        self.check()
        since = self.now
        self.run(seconds)
        self.check()
        if self.members:
            for backend in self.backends.values():
                assert backend.arrived_at, backend.name
                assert backend.arrived_at[-1] > since, backend.name
