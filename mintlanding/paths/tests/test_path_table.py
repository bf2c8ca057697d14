"""Whether the path or the target is at fault."""

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from mintlanding.paths.path_table import PathTable

TARGETS = [(f't{number}', 1) for number in range(4)]


def test_target_that_only_members_reach_is_cut_until_it_is_reached():
    paths = PathTable()
    paths.record_indirect(TARGETS[0], 10, 10)
    assert paths.is_cut(TARGETS[0])
    assert not paths.is_cut(TARGETS[1])
    paths.record_direct(TARGETS[0], 12)
    assert not paths.is_cut(TARGETS[0])


def test_attempt_that_began_before_a_later_one_succeeded_cuts_nothing():
    paths = PathTable()
    paths.record_direct(TARGETS[0], 11)
    paths.record_indirect(TARGETS[0], 10, 12)
    assert not paths.is_cut(TARGETS[0])
    assert paths.may_reuse(TARGETS[0])
    paths.record_indirect(TARGETS[0], 11, 12)
    assert paths.is_cut(TARGETS[0])


def test_attempt_that_began_before_the_end_of_a_cut_cuts_no_other_target():
    paths = PathTable()
    for target in TARGETS:
        paths.record_indirect(target, 10, 11)
    paths.record_direct(TARGETS[0], 12)
    paths.record_indirect(TARGETS[1], 11, 13)
    assert not paths.is_cut(TARGETS[1])


def test_target_that_nobody_reaches_is_not_cut():
    paths = PathTable()
    paths.record_indirect(TARGETS[0], 10, 10)
    paths.record_unreachable(TARGETS[0])
    assert not paths.is_cut(TARGETS[0])


def test_one_cut_casts_doubt_on_idle_connections():
    paths = PathTable()
    paths.record_direct(TARGETS[1], 9)
    assert paths.may_reuse(TARGETS[1])
    paths.record_indirect(TARGETS[0], 10, 10)
    assert not paths.may_reuse(TARGETS[1])
    paths.record_direct(TARGETS[1], 11)
    assert paths.may_reuse(TARGETS[1])


def test_silence_casts_doubt_on_idle_connections_to_one_target():
    paths = PathTable()
    for target in TARGETS[:2]:
        paths.record_direct(target, 9)
    paths.record_silence(TARGETS[0])
    assert not paths.may_reuse(TARGETS[0])
    assert paths.may_reuse(TARGETS[1])


def test_end_of_one_cut_lets_all_targets_be_tried_directly():
    paths = PathTable()
    for target in TARGETS:
        paths.record_indirect(target, 10, 10)
    assert paths.is_cut_off(TARGETS)
    paths.record_direct(TARGETS[0], 12)
    assert not any(paths.is_cut(target) for target in TARGETS)
    assert not paths.may_reuse(TARGETS[1])


def test_one_of_two_cut_targets_is_no_cut_off_instance():
    paths = PathTable()
    paths.record_indirect(TARGETS[0], 10, 10)
    assert not paths.is_cut_off(TARGETS[:1])
    assert not paths.is_cut_off(TARGETS[:2])
    paths.record_indirect(TARGETS[1], 10, 10)
    assert paths.is_cut_off(TARGETS[:3])
    assert not paths.is_cut_off(TARGETS)


def test_probes_are_bounded_and_come_in_turn():
    paths = PathTable()
    for number, target in enumerate(TARGETS):
        paths.record_indirect(target, number / 100, number / 100)
    assert not paths.due_probes(0.1, 2)
    assert paths.due_probes(1, 2) == TARGETS[:2]
    assert paths.due_probes(1, 2) == TARGETS[2:]
    assert not paths.due_probes(1.2, 2)
    assert paths.due_probes(1.6, 2) == TARGETS[:2]


class Paths(RuleBasedStateMachine):
    """The truth about each path, and what connection attempts tell of it.

    What an attempt found may be recorded late, twice, out of order, or never.
    """

    def __init__(self):
        super().__init__()
        self.paths = PathTable()
        self.now = 0.0
        self.is_path_cut = dict.fromkeys(TARGETS, False)
        self.is_down = dict.fromkeys(TARGETS, False)
        self.late = []

    def find(self, target):
        """Return what an attempt finds that begins now, and when it began."""
        finding = 'indirect' if self.is_path_cut[target] else 'direct'
        if self.is_down[target]:
            finding = 'unreachable'
        return finding, target, self.now

    def record(self, finding, target, begun_at):
        self.now += 0.01
        if finding == 'unreachable':
            self.paths.record_unreachable(target)
        elif finding == 'indirect':
            self.paths.record_indirect(target, begun_at, self.now)
        else:
            self.paths.record_direct(target, self.now)

    def attempt(self, target):
        self.record(*self.find(target))

    @rule(goal=st.sampled_from(TARGETS), is_cut=st.booleans())
    def cut(self, goal, is_cut):
        self.is_path_cut[goal] = is_cut

    @rule(goal=st.sampled_from(TARGETS), is_down=st.booleans())
    def crash(self, goal, is_down):
        self.is_down[goal] = is_down

    @rule(goal=st.sampled_from(TARGETS))
    def request(self, goal):
        """A request to a cut target asks members only."""
        if not self.paths.is_cut(goal):
            self.attempt(goal)

    @rule(goal=st.sampled_from(TARGETS))
    def request_that_ends_late(self, goal):
        if not self.paths.is_cut(goal):
            self.late.append(self.find(goal))

    @rule(position=st.integers(0, 5), times=st.integers(0, 2))
    def late_request_ends(self, position, times):
        if self.late:
            found = self.late.pop(position % len(self.late))
            for _ in range(times):
                self.record(*found)

    @rule()
    def truth_stays(self):
        """Requests and probes find out which of the running targets are cut."""
        while self.late:
            self.record(*self.late.pop())
        for _ in range(3):
            self.probe(1)
        for target in TARGETS:
            self.request(target)
        for target in TARGETS:
            if not self.is_down[target]:
                assert self.paths.is_cut(target) == self.is_path_cut[target]

    @rule(seconds=st.floats(0, 2))
    def probe(self, seconds):
        self.now += seconds
        for target in self.paths.due_probes(self.now, 2):
            if not self.is_path_cut[target] and not self.is_down[target]:
                self.paths.record_direct(target, self.now)

    @rule()
    def everything_heals(self):
        """Once nothing is wrong, probes end all cuts."""
        for target in TARGETS:
            self.is_path_cut[target] = self.is_down[target] = False
        for _ in range(3):
            self.probe(1)
        assert not any(self.paths.is_cut(target) for target in TARGETS)

    @invariant()
    def idle_connections_of_cut_targets_are_not_used(self):
        for target in TARGETS:
            if self.paths.is_cut(target):
                assert not self.paths.may_reuse(target)


TestPaths = Paths.TestCase
