"""Decide which part of a prompt crashes engines.

A crash ends all requests on its engine, so that each crash alone has many
suspects. The part that causes crashes is the one that recurs in them while no
request with it is answered. Parts that other requests share are answered
elsewhere meanwhile, which clears them.
"""

import math
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, field

from mintlanding.core.logs import Logger
from mintlanding.quarantine.messages import EngineCrash, SuspectPart
from mintlanding.quarantine.records import MAX_CRASHES, QuarantineRecord
from mintlanding.quarantine.trials import Trials

# Begins the names of engines whose crashes are only known by their number.
_RECORDED = 'recorded/'


@dataclass(frozen=True, slots=True)
class QuarantineOptions:
    """When a part is quarantined and tried again; times in seconds.

    `min_crashes`: crashes at different times that put a part into quarantine.
    `min_answers`: responses without the part that this instance must have
    passed on meanwhile, so that an outage of all engines is blamed on none.
    `burst`: crashes within this time from the first of them have a common
    cause and count as one.
    `repeat_crashes`: crashes from which a request that was lost in one of them
    is not repeated. `trial_pauses`: time before each trial of a quarantined
    part, as for whole requests. `memory`: time after which crashes without a
    quarantine are forgotten. `share_time`: time for which news about a part
    are sent.
    """

    min_crashes: int = 3
    min_answers: int = 3
    burst: float = 0.1
    repeat_crashes: int = 2
    trial_pauses: tuple[float, ...] = (20, 300)
    memory: float = 60
    share_time: float = 5
    max_parts: int = 500
    max_shared_parts: int = 50


@dataclass(slots=True)
class _Suspect:
    """A part with the times of crashes, by the engine that crashed.

    `answered_at` is the last complete response that any instance reports,
    `own_answered_at` that of this instance.
    """

    position: int
    answers_before: int
    crashes: dict[str, float] = field(default_factory=dict)
    answered_at: float = -math.inf
    own_answered_at: float = -math.inf
    is_quarantined: bool = False

    @property
    def last_crash(self) -> float:
        return max(self.crashes.values(), default=-math.inf)

    @property
    def last_news(self) -> float:
        return max(self.last_crash, self.own_answered_at)

    @property
    def importance(self) -> tuple[bool, float]:
        return self.is_quarantined, self.last_news

    def unexplained(
        self, explained: set[str], count: Callable[[Iterable[float]], int]
    ) -> int:
        """Return the number of crashes that no quarantined part explains."""
        return count(
            at for engine, at in self.crashes.items() if engine not in explained
        )

    def discard_answered(self) -> None:
        """Drop the crashes after which a request with the part was answered."""
        self.crashes = {
            engine: at
            for engine, at in self.crashes.items()
            if at > self.answered_at
        }


class CrashLedger:
    """Crashes by part of the prompt, and the parts in quarantine."""

    def __init__(self, options: QuarantineOptions) -> None:
        """Start without crashes."""
        self.trials = Trials(options.trial_pauses)
        # Crashes for which something other than a part is to blame.
        self.explained_elsewhere: Callable[[], set[str]] = set
        self._options = options
        self._suspects: dict[str, _Suspect] = {}
        self._answers = 0
        self._logger = Logger('quarantine')

    def quarantined(self) -> tuple[str, ...]:
        """Return the parts in quarantine."""
        return tuple(
            part
            for part, suspect in self._suspects.items()
            if suspect.is_quarantined
        )

    def records(self) -> dict[str, QuarantineRecord]:
        """Return a record of each part in quarantine, with own times."""
        return {
            part: QuarantineRecord(
                suspect.position,
                min(len(suspect.crashes), MAX_CRASHES),
                suspect.last_crash,
                self.trials.made(part),
            )
            for part, suspect in self._suspects.items()
            if suspect.is_quarantined
        }

    def restore(
        self, part: str, record: QuarantineRecord, at: float, now: float
    ) -> None:
        """Quarantine a part by its stored record; `at` is the last crash."""
        self.trials.learn(part, record.trials, now)
        suspect = self._suspect(part, record.position)
        if at <= suspect.answered_at or suspect.is_quarantined:
            return
        for number in range(record.crashes - len(suspect.crashes)):
            suspect.crashes[f'{_RECORDED}{number}'] = at
        self._quarantine(part, suspect)

    def record_crash(
        self, engine: str, prompts: Iterable[Sequence[str]], now: float
    ) -> None:
        """Record a crash under requests that were not answered yet.

        `prompts` are the parts of each prompt in their order, without the
        last. All are known before any part is blamed.
        """
        for parts in prompts:
            for position, part in enumerate(parts):
                suspect = self._suspect(part, position)
                suspect.crashes.setdefault(engine, now)
                suspect.discard_answered()
        self._evaluate()

    def record_answer(self, parts: Iterable[str], now: float) -> None:
        """Record a complete response, which clears the parts of its prompt."""
        self._answers += 1
        for part in parts:
            suspect = self._suspects.get(part)
            if suspect is not None:
                suspect.own_answered_at = now
                self._clear(part, suspect, now)

    def merge(self, reports: Iterable[SuspectPart], now: float) -> None:
        """Add what another instance knows."""
        for report in reports:
            self._merge_part(report, now)
        self._evaluate()

    def reports(self, now: float) -> tuple[SuspectPart, ...]:
        """Return quarantined parts and recent news for other instances."""
        self._forget(now)
        options = self._options
        shared = [
            (part, suspect)
            for part, suspect in self._suspects.items()
            if suspect.is_quarantined
            or now < suspect.last_news + options.share_time
        ]
        shared.sort(
            key=lambda each: (each[1].is_quarantined, len(each[1].crashes)),
            reverse=True,
        )
        return tuple(
            SuspectPart(
                part,
                suspect.position,
                tuple(
                    EngineCrash(engine, now - at)
                    for engine, at in suspect.crashes.items()
                ),
                -1.0
                if math.isinf(suspect.own_answered_at)
                else now - suspect.own_answered_at,
                suspect.is_quarantined,
            )
            for part, suspect in shared[: options.max_shared_parts]
        )

    def refusal(
        self, parts: Iterable[str], now: float, *, is_repeat: bool = False
    ) -> tuple[str, float]:
        """Return the part for which a request is refused, and for how long.

        The part is empty if the request may be sent. A repeat of a request
        that was lost in a crash is refused earlier.
        """
        for part in parts:
            suspect = self._suspects.get(part)
            if suspect is None:
                continue
            last_crash = suspect.last_crash
            if suspect.is_quarantined and not self.trials.may_send(
                part, last_crash, now
            ):
                return part, max(1, self.trials.wait(part, last_crash, now))
            if is_repeat and self._is_suspicious(suspect):
                return part, self._options.trial_pauses[0]
        return '', 0

    def begin_trial(self, parts: Iterable[str]) -> None:
        """Record that a request is sent, maybe as the trial of a part."""
        for part in parts:
            if self.trials.begin(part):
                self._logger.info(
                    'Part in quarantine tried.',
                    part=part,
                    trials=self.trials.made(part),
                )

    def _suspect(self, part: str, position: int) -> _Suspect:
        suspect = self._suspects.get(part)
        if suspect is None:
            suspect = _Suspect(position, self._answers)
            self._suspects[part] = suspect
        return suspect

    def _merge_part(self, report: SuspectPart, now: float) -> None:
        if not report.crashes and report.part not in self._suspects:
            return
        suspect = self._suspect(report.part, report.position)
        for crash in report.crashes:
            # The shortest way of a report gives the time closest to the crash.
            at = now - crash.age
            suspect.crashes[crash.engine] = min(
                at, suspect.crashes.get(crash.engine, at)
            )
        if report.answered_age >= 0:
            self._clear(report.part, suspect, now - report.answered_age)
        else:
            suspect.discard_answered()
        has_crashes = suspect.unexplained(
            self.explained_elsewhere(), self._count
        )
        if report.is_quarantined and has_crashes >= self._options.min_crashes:
            self._quarantine(report.part, suspect)

    def _clear(self, part: str, suspect: _Suspect, answered_at: float) -> None:
        suspect.answered_at = max(suspect.answered_at, answered_at)
        suspect.discard_answered()
        if suspect.is_quarantined and not suspect.crashes:
            self._release(part, suspect)

    def _release(self, part: str, suspect: _Suspect) -> None:
        suspect.is_quarantined = False
        self.trials.forget(part)
        self._logger.info('Part released from quarantine.', part=part)

    def _evaluate(self) -> None:
        """Release parts without blame; quarantine those that explain most.

        Of parts that explain the same crashes, the later one in the prompt is
        taken, which fewer requests share.
        """
        self._release_explained()
        explained = self._explained()
        while True:
            ranked = [
                (suspect.unexplained(explained, self._count), position, part)
                for part, position, suspect in self._candidates()
            ]
            crashes, _, worst = max(ranked, default=(0, 0, ''))
            if crashes < self._options.min_crashes:
                return
            self._quarantine(worst, self._suspects[worst])
            explained |= self._suspects[worst].crashes.keys()

    def _release_explained(self) -> None:
        """Release the parts all whose crashes have another cause."""
        elsewhere = self.explained_elsewhere()
        for part, suspect in self._suspects.items():
            is_blamed = suspect.crashes.keys() - elsewhere
            if suspect.is_quarantined and not is_blamed:
                self._release(part, suspect)

    def _explained(self) -> set[str]:
        """Return the crashes for which a cause is in quarantine."""
        return self.explained_elsewhere().union(
            *(
                suspect.crashes
                for suspect in self._suspects.values()
                if suspect.is_quarantined
            )
        )

    def _is_suspicious(self, suspect: _Suspect) -> bool:
        crashes = suspect.unexplained(self._explained(), self._count)
        return crashes >= self._options.repeat_crashes

    def _candidates(self) -> list[tuple[str, int, _Suspect]]:
        return [
            (part, suspect.position, suspect)
            for part, suspect in self._suspects.items()
            if self._may_be_blamed(suspect)
        ]

    def _may_be_blamed(self, suspect: _Suspect) -> bool:
        answers = self._answers - suspect.answers_before
        return (
            not suspect.is_quarantined and answers >= self._options.min_answers
        )

    def _quarantine(self, part: str, suspect: _Suspect) -> None:
        if suspect.is_quarantined:
            return
        suspect.is_quarantined = True
        self._logger.warning(
            'Part put into quarantine.',
            part=part,
            position=suspect.position,
            crashes=len(suspect.crashes),
            engines=sorted(suspect.crashes),
            trials=self.trials.made(part),
        )

    def _count(self, times: Iterable[float]) -> int:
        """Return the number of crashes, of which those of a burst are one."""
        count = 0
        begin = -math.inf
        for at in sorted(times):
            if at > begin + self._options.burst:
                count += 1
                begin = at
        return count

    def _forget(self, now: float) -> None:
        for part, suspect in tuple(self._suspects.items()):
            if suspect.is_quarantined:
                continue
            if now >= suspect.last_news + self._lifetime(suspect):
                self._suspects.pop(part)
        excess = len(self._suspects) - self._options.max_parts
        if excess <= 0:
            return
        ranked = sorted(
            self._suspects, key=lambda name: self._suspects[name].importance
        )
        for part in ranked[:excess]:
            self._suspects.pop(part)
            self.trials.forget(part)

    def _lifetime(self, suspect: _Suspect) -> float:
        options = self._options
        return options.memory if suspect.crashes else options.share_time
