"""The table of breaks is whole; `python -m tests.mutants` runs it."""

from contextlib import ExitStack
from pathlib import Path

import pytest

from tests.mutants import MUTANTS, apply
from tests.test_promises import PROMISES, test_exists

ROOT = Path(__file__).parent.parent


def test_every_promise_has_a_break():
    broken = {each.promise for each in MUTANTS}
    assert set(PROMISES) <= broken


@pytest.mark.parametrize('mutant', MUTANTS, ids=lambda each: each.name)
def test_break_fits_the_code_and_names_its_proof(mutant):
    with ExitStack() as stack:
        apply(mutant, stack)
    path, _, name = mutant.proof.partition('::')
    if name:
        assert test_exists(path, name)
    else:
        assert (ROOT / path).exists()
