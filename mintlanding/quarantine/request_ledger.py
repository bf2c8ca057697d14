"""Decide which whole request crashes the targets that run it.

A request that comes again is recognised by its digest. The one that causes
crashes is lost in each of them and never answered; those that were lost beside
it are answered when they come again, which clears them. Unlike a part of a
prompt, which many requests share, a request needs no other response to be
blamed: it may have taken down all targets of its service.
"""

import math
from collections.abc import Iterable
from dataclasses import dataclass, field

from mintlanding.core.logs import Logger
from mintlanding.quarantine.messages import EngineCrash, SuspectPart
from mintlanding.quarantine.records import RequestRecord
from mintlanding.quarantine.trials import Trials


@dataclass(frozen=True, slots=True)
class RequestQuarantineOptions:
    """When a request is refused and tried again; times in seconds.

    `min_crashes`: crashes that put a request into quarantine. `repeat_crashes`:
    crashes from which a request that was lost is not repeated, and from which
    it is recorded in the store. `trial_pauses`: time before each trial; one
    fewer than the users allow, since an instance that cannot know of the
    quarantine may send the request once more. `memory`: time after which
    crashes without a quarantine are forgotten. `share_time`: time for which
    news are sent to other instances.
    """

    min_crashes: int = 3
    repeat_crashes: int = 2
    trial_pauses: tuple[float, ...] = (10, 300)
    memory: float = 3600
    share_time: float = 20
    max_requests: int = 2000
    max_shared: int = 50


@dataclass(slots=True)
class _Suspect:
    """A request with the times of crashes, by target and incarnation.

    `answered_at` is the last complete response that any instance reports,
    `own_answered_at` that of this instance.
    """

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
    def importance(self) -> tuple[bool, int, float]:
        return self.is_quarantined, len(self.crashes), self.last_news

    def discard_answered(self) -> None:
        """Drop the crashes after which the request was answered."""
        self.crashes = {
            target: at
            for target, at in self.crashes.items()
            if at > self.answered_at
        }


class RequestLedger:
    """Crashes by request, and the requests in quarantine."""

    def __init__(self, options: RequestQuarantineOptions) -> None:
        """Start without crashes."""
        self.trials = Trials(options.trial_pauses)
        self._options = options
        self._suspects: dict[str, _Suspect] = {}
        self._logger = Logger('quarantine')

    def quarantined(self) -> tuple[str, ...]:
        """Return the digests of the requests in quarantine."""
        return tuple(
            digest
            for digest, suspect in self._suspects.items()
            if suspect.is_quarantined
        )

    def explained(self) -> set[str]:
        """Return the crashes for which a request is in quarantine."""
        return {
            target
            for suspect in self._suspects.values()
            if suspect.is_quarantined
            for target in suspect.crashes
        }

    def is_suspected(self, digest: str) -> bool:
        """Tell whether a request was lost in a crash and not answered since."""
        suspect = self._suspects.get(digest)
        return suspect is not None and bool(suspect.crashes)

    def recurs(self, digest: str) -> bool:
        """Tell whether a request was lost in several crashes."""
        suspect = self._suspects.get(digest)
        return suspect is not None and len(suspect.crashes) > 1

    def record_crash(
        self, target: str, digests: Iterable[str], now: float
    ) -> None:
        """Record the crash of a target under unanswered requests."""
        for digest in digests:
            suspect = self._suspects.setdefault(digest, _Suspect())
            suspect.crashes.setdefault(target, now)
            suspect.discard_answered()
        self._evaluate()

    def record_answer(self, digest: str, now: float) -> None:
        """Record a complete response, which clears the request."""
        suspect = self._suspects.get(digest)
        if suspect is not None:
            suspect.own_answered_at = now
            self._clear(digest, suspect, now)

    def refusal(
        self, digest: str, now: float, *, is_repeat: bool = False
    ) -> float:
        """Return for how many seconds a request is refused, 0 if it is not.

        A repeat of a request that was lost in a crash is refused earlier.
        """
        suspect = self._suspects.get(digest)
        if suspect is None:
            return 0
        if suspect.is_quarantined:
            if self.trials.may_send(digest, suspect.last_crash, now):
                return 0
            wait = self.trials.wait(digest, suspect.last_crash, now)
            return max(1, wait)
        unexplained = suspect.crashes.keys() - self.explained()
        if is_repeat and len(unexplained) >= self._options.repeat_crashes:
            return self._options.trial_pauses[0]
        return 0

    def begin_trial(self, digest: str) -> None:
        """Record that a request is sent, maybe as a trial."""
        if self.trials.begin(digest):
            self._logger.info(
                'Request in quarantine tried.',
                digest=digest,
                trials=self.trials.made(digest),
            )

    def merge(self, reports: Iterable[SuspectPart], now: float) -> None:
        """Add what another instance knows."""
        for report in reports:
            if report.crashes or report.part in self._suspects:
                self._merge_request(report, now)
        self._evaluate()

    def reports(self, now: float) -> tuple[SuspectPart, ...]:
        """Return quarantined requests and recent news for other instances."""
        self._forget(now)
        options = self._options
        shared = [
            (digest, suspect)
            for digest, suspect in self._suspects.items()
            if suspect.is_quarantined
            or now < suspect.last_news + options.share_time
        ]
        shared.sort(key=lambda each: each[1].importance, reverse=True)
        return tuple(
            _report(digest, suspect, now)
            for digest, suspect in shared[: options.max_shared]
        )

    def records(self) -> dict[str, RequestRecord]:
        """Return a record of each request that must outlast all instances.

        Its time of the last crash is one of this instance's clock.
        """
        least = self._options.repeat_crashes
        return {
            digest: RequestRecord(
                tuple(sorted(suspect.crashes)),
                suspect.last_crash,
                self.trials.made(digest),
                suspect.is_quarantined,
            )
            for digest, suspect in self._suspects.items()
            if suspect.is_quarantined or len(suspect.crashes) >= least
        }

    def restore(
        self, digest: str, record: RequestRecord, at: float, now: float
    ) -> None:
        """Add the crashes of a stored record; `at` is the last of them."""
        suspect = self._suspects.setdefault(digest, _Suspect())
        self.trials.learn(digest, record.trials, now)
        if at <= suspect.answered_at:
            return
        for target in record.targets:
            suspect.crashes.setdefault(target, at)
        if record.is_quarantined:
            self._quarantine(digest, suspect)
        self._evaluate()

    def release(self, digest: str, now: float) -> None:
        """End the quarantine of a request whose record was removed."""
        suspect = self._suspects.get(digest)
        if suspect is not None and suspect.is_quarantined:
            self.record_answer(digest, now)

    def _merge_request(self, report: SuspectPart, now: float) -> None:
        suspect = self._suspects.setdefault(report.part, _Suspect())
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
        if report.is_quarantined and suspect.crashes:
            self._quarantine(report.part, suspect)

    def _clear(self, digest: str, suspect: _Suspect, at: float) -> None:
        suspect.answered_at = max(suspect.answered_at, at)
        suspect.discard_answered()
        if suspect.is_quarantined and not suspect.crashes:
            suspect.is_quarantined = False
            self.trials.forget(digest)
            self._logger.info('Request released.', digest=digest)

    def _evaluate(self) -> None:
        """Quarantine the requests that explain most crashes, then the others.

        Of several that were lost in the same crashes any may be the cause.
        """
        explained = self.explained()
        while True:
            counts = {
                digest: len(suspect.crashes.keys() - explained)
                for digest, suspect in self._suspects.items()
                if not suspect.is_quarantined
            }
            most = max(counts.values(), default=0)
            if most < self._options.min_crashes:
                return
            for digest, count in counts.items():
                if count == most:
                    suspect = self._suspects[digest]
                    self._quarantine(digest, suspect)
                    explained |= suspect.crashes.keys()

    def _quarantine(self, digest: str, suspect: _Suspect) -> None:
        if suspect.is_quarantined:
            return
        suspect.is_quarantined = True
        self._logger.warning(
            'Request put into quarantine.',
            digest=digest,
            crashes=len(suspect.crashes),
            targets=sorted(suspect.crashes),
            trials=self.trials.made(digest),
        )

    def _forget(self, now: float) -> None:
        oldest = now - self._options.memory
        self._suspects = {
            digest: suspect
            for digest, suspect in self._suspects.items()
            if suspect.is_quarantined or suspect.last_news > oldest
        }
        excess = len(self._suspects) - self._options.max_requests
        if excess <= 0:
            return
        ranked = sorted(
            self._suspects, key=lambda each: self._suspects[each].importance
        )
        for digest in ranked[:excess]:
            self._suspects.pop(digest)
            self.trials.forget(digest)
        self._logger.warning('Crashes of requests forgotten.', requests=excess)


def _report(digest: str, suspect: _Suspect, now: float) -> SuspectPart:
    return SuspectPart(
        digest,
        0,
        tuple(
            EngineCrash(target, now - at)
            for target, at in suspect.crashes.items()
        ),
        -1.0
        if math.isinf(suspect.own_answered_at)
        else now - suspect.own_answered_at,
        suspect.is_quarantined,
    )
