"""A fleet that learns about crashes while members are cut off and killed."""

import random

import pytest

from mintlanding.quarantine.ledger import CrashLedger, QuarantineOptions

OPTIONS = QuarantineOptions()
STEP = 0.05
# Time in which members must know what others have learned.
CONTACT_SECONDS = 3
RESTART_SECONDS = 2.0
RUN_SECONDS = 0.3


class Fleet:
    """Instances with ledgers before engines that crash under one part."""

    def __init__(self, seed, instances, engines):
        self.rnd = random.Random(seed)
        self.now = 0.0
        self.ledgers = [CrashLedger(OPTIONS) for _ in range(instances)]
        self.cut_until = [0.0] * instances
        self.started_at = [-10.0] * instances
        self.up_at = [0.0] * engines
        self.incarnations = [0] * engines
        self.running = [[] for _ in range(engines)]
        self.crashes = []
        self.sent_late = 0
        self.refused_sound = 0

    def send(self, instance, parts, is_bad):
        ledger = self.ledgers[instance]
        part, _ = ledger.refusal(parts, self.now)
        if part:
            self.refused_sound += not is_bad
            return
        up = [n for n, at in enumerate(self.up_at) if at <= self.now]
        if not up:
            return
        ledger.begin_trial(parts)
        engine = self.rnd.choice(up)
        if is_bad and self.is_late(instance):
            self.sent_late += 1
        self.running[engine].append((instance, parts, is_bad, self.now))

    def is_late(self, instance):
        """Tell whether five crashes should be known to this instance."""
        if len(self.crashes) < 5:
            return False
        since = self.now - CONTACT_SECONDS
        back_at = max(self.cut_until[instance], self.started_at[instance])
        return since > max(self.crashes[4], back_at)

    def serve(self):
        for engine, requests in enumerate(self.running):
            due = [r for r in requests if self.now >= r[3] + RUN_SECONDS]
            if any(is_bad for _, _, is_bad, _ in due):
                self.crash(engine)
                continue
            for instance, parts, _, _ in due:
                self.ledgers[instance].record_answer(parts, self.now)
            self.running[engine] = [r for r in requests if r not in due]

    def crash(self, engine):
        name = f'e{engine}/{self.incarnations[engine]}'
        self.crashes.append(self.now)
        for instance, parts, is_bad, _ in self.running[engine]:
            # Most of the others have brought events by then.
            if is_bad or self.rnd.random() < 0.3:
                self.ledgers[instance].record_crash(name, [parts], self.now)
        self.running[engine] = []
        self.incarnations[engine] += 1
        self.up_at[engine] = self.now + RESTART_SECONDS

    def exchange(self):
        reports = [each.reports(self.now) for each in self.ledgers]
        for sender, sent in enumerate(reports):
            for receiver, ledger in enumerate(self.ledgers):
                ends = (self.cut_until[sender], self.cut_until[receiver])
                if sender != receiver and self.now >= max(ends):
                    ledger.merge(sent, self.now + self.rnd.random() * 0.05)

    def disrupt(self, is_kill):
        instance = self.rnd.randrange(len(self.ledgers))
        if not is_kill:
            self.cut_until[instance] = self.now + self.rnd.uniform(1, 6)
        elif instance:
            self.ledgers[instance] = CrashLedger(OPTIONS)
            self.started_at[instance] = self.now

    def run(self, seconds, bad_share, disrupts):
        steps = int(seconds / STEP)
        for step in range(steps):
            self.now = step * STEP
            for _ in range(3):
                instance = self.rnd.randrange(len(self.ledgers))
                is_bad = self.rnd.random() < bad_share
                second = 'bad' if is_bad else f'p{self.rnd.randrange(30)}'
                self.send(instance, ('top', second), is_bad)
            self.serve()
            if step % 5 == 0:
                self.exchange()
            if disrupts and step % 60 == 59:
                self.disrupt(is_kill=self.rnd.random() < 0.4)


@pytest.mark.parametrize('disrupts', [False, True])
@pytest.mark.parametrize('seed', range(10))
def test_part_that_crashes_engines_is_refused_and_no_other(seed, disrupts):
    fleet = Fleet(seed, instances=6, engines=6)
    fleet.run(40, bad_share=0.03, disrupts=disrupts)
    assert len(fleet.crashes) >= 3
    # Up to three requests are allowed after five crashes.
    assert fleet.sent_late <= 3
    assert fleet.refused_sound == 0


def test_crashes_without_a_common_part_blame_none():
    fleet = Fleet(1, instances=6, engines=6)
    for _ in range(40):
        fleet.run(1, bad_share=0, disrupts=False)
        fleet.crash(fleet.rnd.randrange(6))
    assert not any(each.quarantined() for each in fleet.ledgers)
