import asyncio
from dataclasses import dataclass, field

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
)
from msgspec.structs import replace

from mintlanding.configuration.directory import Directory
from mintlanding.configuration.documents import (
    BLOB_PREFIX,
    MANIFEST_KEY,
    Manifest,
    pack,
    unpack_manifest,
    unpack_objects,
)
from mintlanding.configuration.exceptions import StoredConfigurationError
from mintlanding.configuration.layout import LayoutLimits
from mintlanding.configuration.manifest_watch import ManifestWatch
from mintlanding.configuration.models import Adapter, Service, Workspace
from mintlanding.configuration.proposals import Proposal
from mintlanding.configuration.reader import ConfigurationReader
from mintlanding.configuration.storage import ConfigurationStorage
from mintlanding.configuration.tests.samples import (
    large_objects,
    small_objects,
)
from mintlanding.configuration.write_ids import Authorship, new_write_id
from mintlanding.coordination.keyvalue import Entry
from mintlanding.coordination.keyvalue_state import KeyValueState
from mintlanding.coordination.memory import MemoryKeyValueService
from mintlanding.core.exceptions import PlatformUnavailable
from mintlanding.core.results import Done, Failed, Ran, ResultCode

SMALL = LayoutLimits(
    tail_changes=6,
    tail_bytes=2000,
    objects_per_chunk=3,
    inline_commits=6,
    segments=100,
)


def workspace(name='w', rate=1.0):
    return Workspace(name=name, rate=rate, burst=9)


def new_authorship(number=0, author='ann'):
    return Authorship(author, new_write_id(1e6 + number), 1e6 + number)


def put_all(*bodies):
    return [Proposal.put(body) for body in bodies]


class FaultyService(MemoryKeyValueService):
    """Key-value service that can precede or fail puts of the manifest."""

    def __init__(self, store):
        super().__init__(store)
        self.before_swap = []
        self.drop_swaps = 0

    async def put(self, key, value, expected=None, lease=''):
        if key == MANIFEST_KEY and self.before_swap:
            await self.before_swap.pop(0)()
        if key == MANIFEST_KEY and self.drop_swaps:
            self.drop_swaps -= 1
            raise PlatformUnavailable('the request was lost')
        return await super().put(key, value, expected, lease)


def new_storage(store=None, limits=None):
    service = FaultyService(store or KeyValueState())
    return ConfigurationStorage(service, limits), service


async def test_commit_is_loaded_by_another_storage():
    storage, service = new_storage()
    done = await storage.commit(put_all(*small_objects()), new_authorship())
    assert done.value.revision == 1
    other, _ = new_storage(service.store)
    loaded = await other.load()
    assert dict(loaded.objects()) == dict(storage.directory.objects())
    assert loaded.workspace('north').version == 1


async def test_earlier_release_does_not_write_over_a_later_schema():
    service = MemoryKeyValueService()
    storage = ConfigurationStorage(service)
    await storage.commit(
        [Proposal.put(Workspace(name='a', rate=1, burst=1))],
        Authorship('op', new_write_id(1), 1),
    )
    entry = await service.get(MANIFEST_KEY)
    later = replace(unpack_manifest(entry.value), schema=99)
    await service.put(MANIFEST_KEY, pack(later), entry.index)
    earlier = ConfigurationStorage(service)
    assert (await earlier.load()).workspace('a')
    outcome = await earlier.commit(
        [Proposal.put(Workspace(name='b', rate=1, burst=1))],
        Authorship('op', new_write_id(2), 2),
    )
    assert outcome.code is ResultCode.conflict
    assert outcome.ran is Ran.not_run
    assert unpack_manifest((await service.get(MANIFEST_KEY)).value) == later


async def test_commit_of_equal_content_writes_nothing():
    storage, service = new_storage()
    await storage.commit(put_all(workspace()), new_authorship())
    index = service.store.index
    again = await storage.commit(put_all(workspace()), new_authorship(1))
    assert again.value.changes == ()
    assert service.store.index == index


@pytest.mark.parametrize(
    ('proposal', 'code', 'shown'),
    [
        (Proposal.put(workspace(rate=2), 0), ResultCode.conflict, 'version 1'),
        (Proposal.put(workspace(rate=2), 7), ResultCode.conflict, '"rate"'),
        (
            Proposal.put(workspace('x'), 1),
            ResultCode.conflict,
            'does not exist',
        ),
        (
            Proposal.delete('workspace', 'x'),
            ResultCode.object_unknown,
            "workspace 'x'",
        ),
        (
            Proposal.put(workspace(rate=-1)),
            ResultCode.object_invalid,
            'C005',
        ),
    ],
)
async def test_rejected_commit_gives_the_reason(proposal, code, shown):
    storage, _ = new_storage()
    await storage.commit(put_all(workspace()), new_authorship())
    failed = await storage.commit([proposal], new_authorship(1))
    assert failed.code is code
    assert shown in failed.detail
    assert failed.ran is Ran.not_run
    assert storage.directory.revision == 1


async def test_commit_is_retried_after_a_race_on_another_object():
    first, service = new_storage()
    second, _ = new_storage(service.store)
    await first.commit(
        put_all(workspace('a'), workspace('b')), new_authorship()
    )

    async def race():
        await second.commit(
            [Proposal.put(workspace('b', 5), 1)],
            new_authorship(1, 'bob'),
        )

    service.before_swap.append(race)
    done = await first.commit(
        [Proposal.put(workspace('a', 7), 1)], new_authorship(2)
    )
    assert done.value.revision == 3
    assert first.directory.workspace('a').rate == 7
    assert first.directory.workspace('b').rate == 5


async def test_race_on_the_same_object_is_a_conflict_that_shows_it():
    first, service = new_storage()
    second, _ = new_storage(service.store)
    await first.commit(put_all(workspace()), new_authorship())

    async def race():
        await second.commit(
            [Proposal.put(workspace(rate=5), 1)], new_authorship(1)
        )

    service.before_swap.append(race)
    failed = await first.commit(
        [Proposal.put(workspace(rate=7), 1)], new_authorship(2)
    )
    assert failed.code is ResultCode.conflict
    assert '"rate":5.0' in failed.detail


async def test_commit_is_rejected_when_a_race_deletes_a_referenced_object():
    first, service = new_storage()
    second, _ = new_storage(service.store)
    service_object = Service(name='s')
    await first.commit(put_all(workspace(), service_object), new_authorship())

    async def race():
        await second.commit(
            [Proposal.delete('service', 's')], new_authorship(1)
        )

    service.before_swap.append(race)
    adapter = Adapter(name='x', workspace='w', service='s')
    failed = await first.commit(put_all(adapter), new_authorship(2))
    assert failed.code is ResultCode.object_invalid
    assert 'C003' in failed.detail


@pytest.mark.parametrize('limits', [None, SMALL])
async def test_commit_with_a_lost_response_is_found_in_the_history(limits):
    storage, service = new_storage(limits=limits)
    await storage.commit(put_all(workspace()), new_authorship())

    async def lose():
        service.faults.lose_answers = 1

    service.before_swap.append(lose)
    done = await storage.commit(
        [Proposal.put(workspace(rate=2), 1)],
        new_authorship(1),
    )
    assert not done.value.repeated
    assert [each.body.version for each in done.value.changes] == [2]
    assert done.value.revision == 2
    assert storage.directory.workspace('w').version == 2


async def test_lost_swap_is_retried():
    storage, service = new_storage()
    service.drop_swaps = 3
    done = await storage.commit(put_all(workspace()), new_authorship())
    assert done.value.revision == 1
    assert not done.value.repeated


async def test_outage_after_the_swap_gives_ran_unknown():
    storage, service = new_storage(limits=SMALL)
    authorship = new_authorship()

    async def fail():
        service.faults.lose_answers = 1
        service.store_get = service.get

        async def down(key):
            raise PlatformUnavailable('down')

        service.get = down

    service.before_swap.append(fail)
    failed = await storage.commit(put_all(workspace()), authorship)
    assert failed.ran is Ran.unknown
    assert authorship.write_id in failed.detail
    service.get = service.store_get
    for number in range(1, 20):
        changed = put_all(workspace('other', number))
        assert isinstance(
            await storage.commit(changed, new_authorship(number)), Done
        )
    again = await storage.commit(put_all(workspace()), authorship)
    assert again.value.repeated
    assert again.value.revision == 1


async def test_outage_before_the_swap_gives_ran_not_run():
    storage, service = new_storage()
    service.faults.down = True
    failed = await storage.commit(put_all(workspace()), new_authorship())
    assert failed.ran is Ran.not_run
    assert failed.retry_after


async def test_damaged_manifest_after_a_lost_swap_gives_ran_unknown():
    storage, service = new_storage()
    await storage.commit(put_all(workspace()), new_authorship())

    async def lose_and_damage():
        service.drop_swaps = 1
        service.store.put(Entry(MANIFEST_KEY, b'junk', 0), None, '', 0)

    service.before_swap.append(lose_and_damage)
    failed = await storage.commit(put_all(workspace(rate=2)), new_authorship(1))
    assert failed.code is ResultCode.platform_unavailable
    assert failed.ran is Ran.unknown


async def test_burst_of_commits_reads_each_segment_once():
    storage, service = new_storage(limits=SMALL)
    for number in range(40):
        await storage.commit(
            put_all(workspace(rate=number + 1)), new_authorship(number)
        )
    calls = service.calls
    for number in range(40, 44):
        await storage.commit(
            put_all(workspace(rate=number + 1)), new_authorship(number)
        )
    assert service.calls - calls < 4 * 6


async def test_write_id_older_than_the_history_is_refused():
    limits = LayoutLimits(inline_commits=2, segments=1)
    storage, _ = new_storage(limits=limits)
    for number in range(12):
        await storage.commit(
            put_all(workspace(rate=number + 1)), new_authorship(number)
        )
    old = Authorship('ann', new_write_id(1e6 - 9e4), 1e6)
    failed = await storage.commit(put_all(workspace('x')), old)
    assert failed.code is ResultCode.conflict


async def test_service_that_lost_its_data_is_not_treated_as_empty():
    storage, _ = new_storage()
    await storage.commit(put_all(workspace()), new_authorship())
    storage.reader = ConfigurationReader(MemoryKeyValueService())
    with pytest.raises(StoredConfigurationError):
        await storage.load()


async def test_history_shows_authors_and_actions():
    storage, _ = new_storage(limits=SMALL)
    for number in range(20):
        author = ('ann', 'bob')[number % 2]
        await storage.commit(
            put_all(workspace(rate=number + 1)),
            new_authorship(number, author),
        )
    await storage.commit(
        [Proposal.delete('workspace', 'w')], new_authorship(20)
    )
    commits = await storage.history(limit=100)
    assert [commit.revision for commit in commits] == list(range(21, 0, -1))
    assert commits[0].edits[0].action == 'delete'
    assert commits[-1].edits[0].action == 'create'
    assert {commit.author for commit in commits} == {'ann', 'bob'}


async def test_large_apply_fits_and_loads_in_few_calls():
    storage, service = new_storage()
    await storage.commit(put_all(*large_objects(6000)), new_authorship())
    reader = MemoryKeyValueService(service.store)
    delta = await ConfigurationStorage(reader).changes_since(0)
    assert len(delta.changes) == 12006
    assert reader.calls <= 5
    commits = await storage.history(1)
    assert commits[0].unlisted_edits > 11000


async def test_reader_at_any_revision_reaches_the_newest_state():
    storage, service = new_storage(limits=SMALL)
    held = [Directory().snapshot()]
    for number in range(30):
        proposal = Proposal.put(workspace(f'w{number % 7}', number + 1))
        if number % 5 == 4:
            proposal = Proposal.delete('workspace', f'w{(number - 1) % 7}')
        done = await storage.commit([proposal], new_authorship(number))
        assert done.value.revision == number + 1
        held.append(storage.directory.snapshot())
    kinds = set()
    for revision, snapshot in enumerate(held[:-1]):
        follower = Directory()
        follower.apply(snapshot)
        delta = await storage.changes_since(revision)
        kinds.add(delta.base == 0)
        assert follower.apply(delta).accepted
        assert dict(follower.objects()) == dict(storage.directory.objects())
    assert kinds == {True, False}


async def test_reader_uses_a_newer_manifest_when_chunks_are_deleted():
    storage, service = new_storage(limits=SMALL)
    for number in range(8):
        await storage.commit(
            put_all(workspace(f'w{number}')), new_authorship(number)
        )
    entry = await service.get(MANIFEST_KEY)
    for number in range(8, 30):
        await storage.commit(
            put_all(workspace(f'w{number}')), new_authorship(number)
        )
    delta = await storage.reader.delta_of(entry, 0)
    assert delta.revision == 30


async def test_garbage_collection_keeps_referenced_and_recent_blobs():
    storage, service = new_storage(limits=SMALL)
    for number in range(9):
        await storage.commit(
            put_all(workspace(f'w{number}')), new_authorship(number)
        )
    current = storage.directory.revision
    orphan = f'{BLOB_PREFIX}{current - 1:012d}/dead/chunk-1-0'
    in_flight = f'{BLOB_PREFIX}{current:012d}/live/chunk-1-0'
    for key in (orphan, in_flight):
        await service.put(key, b'')
    assert await storage.collect_garbage() == 1
    assert await service.get(orphan) is None
    assert await service.get(in_flight) is not None
    reader, _ = new_storage(service.store)
    assert (await reader.load()).count('workspace') == 9


async def test_watch_repeats_a_failed_read():
    storage, service = new_storage()
    await storage.commit(put_all(workspace()), new_authorship())
    watch = ManifestWatch(service)
    assert (await watch.next_delta(0, 1)).revision == 1
    await storage.commit(put_all(workspace(rate=2)), new_authorship(1))
    service.faults.down = True
    with pytest.raises(PlatformUnavailable):
        await watch.next_delta(1, 0.001)
    service.faults.down = False
    assert (await watch.next_delta(1, 1)).changes[0].body.rate == 2
    idle = await watch.next_delta(2, 0.001)
    assert idle.base == idle.revision == 2


@given(junk=st.binary(max_size=120), cut=st.integers(0, 40))
def test_damaged_documents_give_a_clear_error(junk, cut):
    packed = pack(Manifest())
    for content in (junk, packed[:cut] + junk, pack(junk), pack([junk])):
        for unpack in (unpack_manifest, unpack_objects):
            try:
                unpack(content)
            except StoredConfigurationError as exc:
                assert str(exc)


def test_unknown_manifest_format_is_refused():
    with pytest.raises(StoredConfigurationError, match='format 9'):
        unpack_manifest(pack(Manifest(format=9)))


@dataclass
class Operator:
    storage: ConfigurationStorage
    service: FaultyService
    seen: dict = field(default_factory=dict)


class TwoOperators(RuleBasedStateMachine):
    """Accepted changes are neither lost nor applied twice, despite races.

    Two operators write to one store while calls and responses are lost.
    """

    def __init__(self):
        super().__init__()
        self.store = KeyValueState()
        self.operators = []
        for _ in range(2):
            storage, service = new_storage(self.store, SMALL)
            self.operators.append(Operator(storage, service))
        self.clock = 0
        self.unknown = []
        self.accepted = {}
        self.highest = 0

    def commit(self, operator, proposals, authorship):
        outcome = asyncio.run(operator.storage.commit(proposals, authorship))
        if isinstance(outcome, Done) and (
            outcome.value.changes or outcome.value.repeated
        ):
            revision = outcome.value.revision
            write_id = authorship.write_id
            assert self.accepted.get(revision, write_id) == write_id
            self.accepted[revision] = write_id
            self.highest = max(self.highest, revision)
        return outcome

    def stamp(self, who):
        self.clock += 1
        return new_authorship(self.clock, f'operator-{who}')

    @rule(
        who=st.integers(0, 1),
        name=st.sampled_from('abcd'),
        rate=st.integers(1, 5),
        lost=st.sampled_from(('none', 'none', 'answer', 'call', 'both')),
    )
    def put(self, who, name, rate, lost):
        operator = self.operators[who]
        if lost in {'answer', 'both'}:

            async def lose():
                operator.service.faults.lose_answers = 1

            operator.service.before_swap.append(lose)
        operator.service.drop_swaps = 1 if lost in {'call', 'both'} else 0
        proposals = put_all(workspace(name, rate))
        authorship = self.stamp(who)
        outcome = self.commit(operator, proposals, authorship)
        operator.service.before_swap.clear()
        operator.service.faults.lose_answers = 0
        operator.service.drop_swaps = 0
        if isinstance(outcome, Failed):
            assert outcome.ran is Ran.unknown
            self.unknown.append((proposals, authorship))

    @rule(who=st.integers(0, 1), name=st.sampled_from('abcd'))
    def read(self, who, name):
        operator = self.operators[who]
        loaded = asyncio.run(operator.storage.load())
        body = loaded.workspace(name)
        operator.seen[name] = 0 if body is None else body.version

    @rule(
        who=st.integers(0, 1),
        name=st.sampled_from('abcd'),
        rate=st.integers(6, 9),
        raced=st.booleans(),
    )
    def put_expecting(self, who, name, rate, raced):
        operator = self.operators[who]
        other = self.operators[1 - who]
        expected = operator.seen.get(name, 0)
        if raced:

            async def race():
                stamped = self.stamp(1 - who)
                outcome = await other.storage.commit(
                    put_all(workspace(name, rate + 10)),
                    stamped,
                )
                if outcome.value.changes:
                    revision = outcome.value.revision
                    self.accepted[revision] = stamped.write_id
                    self.highest = max(self.highest, revision)

            operator.service.before_swap.append(race)
        proposal = Proposal.put(workspace(name, rate), expected)
        outcome = self.commit(operator, [proposal], self.stamp(who))
        operator.service.before_swap.clear()
        if isinstance(outcome, Done) and outcome.value.changes:
            assert outcome.value.changes[0].body.version == expected + 1
            operator.seen[name] = expected + 1
        elif isinstance(outcome, Failed):
            assert outcome.code is ResultCode.conflict

    @rule(who=st.integers(0, 1), name=st.sampled_from('abcd'))
    def delete(self, who, name):
        proposals = [Proposal.delete('workspace', name)]
        outcome = self.commit(self.operators[who], proposals, self.stamp(who))
        if isinstance(outcome, Failed):
            assert outcome.code is ResultCode.object_unknown

    @rule(who=st.integers(0, 1), name=st.sampled_from('abcd'))
    def put_in_outage(self, who, name):
        operator = self.operators[who]

        async def fail():
            operator.service.faults.lose_answers = 1
            operator.service.faults.down = False
            original = operator.service.get

            async def down(key):
                operator.service.get = original
                raise PlatformUnavailable('down')

            operator.service.get = down

        operator.service.before_swap.append(fail)
        proposals = put_all(workspace(name, 50 + self.clock))
        authorship = self.stamp(who)
        outcome = self.commit(operator, proposals, authorship)
        assert outcome.ran is Ran.unknown
        self.unknown.append((proposals, authorship))
        revision = unpack_manifest(
            self.store.get(MANIFEST_KEY, 0).value,
        ).revision
        self.accepted[revision] = authorship.write_id
        self.highest = revision

    @precondition(lambda self: self.unknown)
    @rule(who=st.integers(0, 1), pick=st.integers(0, 99))
    def repeat_unknown(self, who, pick):
        """A repeated commit takes effect only if the first one did not."""
        proposals, authorship = self.unknown[pick % len(self.unknown)]
        before = self.highest
        ran = authorship.write_id in self.accepted.values()
        outcome = self.commit(self.operators[who], proposals, authorship)
        assert outcome.value.repeated is ran
        if ran:
            assert self.highest == before

    @rule(who=st.integers(0, 1))
    def collect(self, who):
        asyncio.run(self.operators[who].storage.collect_garbage())

    @rule(who=st.integers(0, 1))
    def restart(self, who):
        storage, service = new_storage(self.store, SMALL)
        self.operators[who] = Operator(storage, service)

    @invariant()
    def every_accepted_change_is_in_the_history_once(self):
        reader, _ = new_storage(self.store)
        commits = asyncio.run(reader.history(1000))
        stored = {commit.revision: commit.write_id for commit in commits}
        assert stored == self.accepted
        assert len(commits) == len(stored) == self.highest

    @invariant()
    def followers_at_any_revision_reach_the_same_state(self):
        reader, _ = new_storage(self.store)
        fresh = asyncio.run(reader.load())
        follower = Directory()
        for operator in self.operators:
            held = operator.storage.directory
            follower.apply(held.snapshot())
            delta = asyncio.run(reader.changes_since(follower.revision))
            follower.apply(delta)
        assert dict(follower.objects()) == dict(fresh.objects())


TwoOperators.TestCase.settings = settings(stateful_step_count=25)
TestTwoOperators = TwoOperators.TestCase


def test_versions_rise_by_one():
    body = replace(workspace(), version=99)
    storage, _ = new_storage()
    done = asyncio.run(storage.commit(put_all(body), new_authorship()))
    assert done.value.changes[0].body.version == 1
