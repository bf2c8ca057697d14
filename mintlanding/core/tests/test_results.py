"""The table of result codes, and failures created from it."""

from mintlanding.core.results import RESULTS, Failed, Ran, ResultCode


def test_every_code_has_a_row():
    assert set(RESULTS) == set(ResultCode)


def test_failure_takes_ran_from_the_table():
    failure = Failed.of(ResultCode.outcome_unknown)
    assert failure.ran is Ran.unknown
    assert failure.row.status == 502
