"""Combine the reports of a zone's instances into one for each part."""

from collections.abc import Iterable

from mintlanding.quarantine.messages import EngineCrash, SuspectPart


def combine_reports(
    received: Iterable[tuple[SuspectPart, float]], limit: int
) -> tuple[SuspectPart, ...]:
    """Combine reports, each with the seconds since it was made.

    Quarantined parts and those with most crashes come first, `limit` in all.
    """
    combined: dict[str, SuspectPart] = {}
    for report, delay in received:
        known = combined.get(report.part)
        combined[report.part] = _combine(known, _aged(report, delay))
    ranked = sorted(
        combined.values(),
        key=lambda each: (each.is_quarantined, len(each.crashes)),
        reverse=True,
    )
    return tuple(ranked[:limit])


def _aged(report: SuspectPart, delay: float) -> SuspectPart:
    answered = report.answered_age
    return SuspectPart(
        report.part,
        report.position,
        tuple(
            EngineCrash(each.engine, each.age + delay)
            for each in report.crashes
        ),
        answered if answered < 0 else answered + delay,
        report.is_quarantined,
    )


def _combine(known: SuspectPart | None, report: SuspectPart) -> SuspectPart:
    if known is None:
        return report
    ages = {crash.engine: crash.age for crash in known.crashes}
    for crash in report.crashes:
        ages[crash.engine] = max(crash.age, ages.get(crash.engine, crash.age))
    answered, other = sorted((known.answered_age, report.answered_age))
    return SuspectPart(
        report.part,
        report.position,
        tuple(EngineCrash(engine, age) for engine, age in ages.items()),
        # The shorter of two ages, or the only one.
        answered if answered >= 0 else other,
        known.is_quarantined or report.is_quarantined,
    )
