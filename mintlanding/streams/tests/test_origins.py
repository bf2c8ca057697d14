"""Which instances know where a stream began, and for how long."""

from hypothesis import given
from hypothesis import strategies as st

from mintlanding.residency.authority import MemberInfo
from mintlanding.streams.messages import StreamOrigin
from mintlanding.streams.origins import (
    OriginTable,
    StreamOptions,
    choose_keepers,
    choose_members_to_query,
)

OPTIONS = StreamOptions()
ZONES = ['z1', 'z2', 'z3', 'z4']

members = st.integers(2, 40).map(
    lambda count: [
        MemberInfo(f'n{number}', ZONES[number % len(ZONES)])
        for number in range(count)
    ],
)


def without(infos, *names):
    return [each for each in infos if each.member not in names]


@given(members, st.uuids(), st.integers(0, 39), st.integers(0, 39))
def test_every_instance_asks_a_member_that_keeps_the_origin(
    infos, request_id, began, resumes
):
    began = infos[began % len(infos)]
    resumes = infos[resumes % len(infos)]
    others = without(infos, began.member)
    keepers = choose_keepers(
        str(request_id), began.zone, others, OPTIONS.copies
    )
    # The killed instance that began the stream is still listed as a member.
    asked = choose_members_to_query(
        str(request_id),
        without(infos, resumes.member),
        OPTIONS.queries_per_zone,
    )
    assert set(keepers) <= {*asked, resumes.member}


@given(members, st.uuids(), st.integers(0, 39))
def test_origin_is_kept_in_its_zone_and_in_others(infos, request_id, began):
    began = infos[began % len(infos)]
    others = without(infos, began.member)
    keepers = choose_keepers(
        str(request_id), began.zone, others, OPTIONS.copies
    )
    zones = [each.zone for each in others if each.member in keepers]
    assert len(set(zones)) == len(keepers)
    assert len(keepers) == min(
        OPTIONS.copies, len({each.zone for each in others})
    )
    if any(each.zone == began.zone for each in others):
        assert began.zone in zones


def test_later_attempt_replaces_an_earlier_one():
    table = OriginTable(OPTIONS)
    first = StreamOrigin('r', 's', 'v1', 1)
    second = StreamOrigin('r', 's', 'v2', 2)
    for origin in (first, second, first):
        table.record(origin, 0)
    assert table.find('r', 1) == second


@given(st.lists(st.tuples(st.integers(0, 9), st.floats(0, 20)), max_size=60))
def test_origins_expire_and_their_number_is_bounded(steps):
    options = StreamOptions(lifetime=30, max_origins=5)
    table = OriginTable(options)
    now, recorded = 0, {}
    for name, pause in steps:
        now += pause
        table.record(StreamOrigin(f'r{name}', 's', 'v1'), now)
        recorded[f'r{name}'] = now
        assert len(table) <= options.max_origins
        assert table.find(f'r{name}', now) is not None
        for each, at in recorded.items():
            if now >= at + options.lifetime:
                assert table.find(each, now) is None
