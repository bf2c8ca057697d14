from hypothesis import given
from hypothesis import strategies as st

from mintlanding.limits.holders import HolderView
from mintlanding.limits.tests.fleet import member

WORKSPACES = ('w0', 'w1', 'w2', 'w3')
VIEWS = st.lists(st.sets(st.integers(1, 9)), min_size=1, max_size=6)


def choices(view):
    return [
        (view.holder(name), view.parent(name), view.is_head(name))
        for name in WORKSPACES
    ]


@given(views=VIEWS, flat=st.sampled_from((1, 5, 24)))
def test_the_choice_depends_on_the_latest_members_only(views, flat):
    kept = HolderView('i0', 'z0', flat)
    for numbers in views:
        members = [member(f'i{each}', f'z{each % 3}') for each in numbers]
        kept.observe(members)
        fresh = HolderView('i0', 'z0', flat)
        fresh.observe(members)
        assert choices(kept) == choices(fresh)
    kept.leave()
    assert all(root != 'i0' for root, _, _ in choices(kept))
