"""Test that each mutation applies to the code and names an existing test.

`python -m tests.mutants` runs the mutations.
"""

from contextlib import ExitStack
from pathlib import Path

import pytest

from tests.mutants import MUTANTS, apply
from tests.test_promises import PROMISES, test_exists

ROOT = Path(__file__).parent.parent


def test_every_promise_has_a_mutation():
    mutated = {each.promise for each in MUTANTS}
    assert set(PROMISES) <= mutated


@pytest.mark.parametrize('mutant', MUTANTS, ids=lambda each: each.name)
def test_mutation_applies_and_names_an_existing_test(mutant):
    with ExitStack() as stack:
        apply(mutant, stack)
    path, _, name = mutant.proof.partition('::')
    if name:
        assert test_exists(path, name)
    else:
        assert (ROOT / path).exists()
