"""Log lines are bounded, never wait for a reader, and are all documented."""

import json
import os
from pathlib import Path

from mintlanding.core.log_reference import find_calls, render
from mintlanding.core.logs import BoundedOutput

PAGE = Path(__file__).parents[3] / 'docs' / 'reference' / 'logs.md'


def lines_of(descriptor):
    return [
        json.loads(line) for line in os.read(descriptor, 1 << 20).splitlines()
    ]


def test_lines_go_out_as_json():
    reader, writer = os.pipe()
    output = BoundedOutput(writer)
    output({'message': 'a', 'odd': {1, 2}})
    (line,) = lines_of(reader)
    assert line['message'] == 'a'


def test_more_than_the_bound_is_left_out_and_counted():
    reader, writer = os.pipe()
    output = BoundedOutput(writer, lines_per_second=5)
    for number in range(20):
        output({'message': str(number)})
    assert len(lines_of(reader)) == 5
    assert output.left_out == 15
    output._at -= 1
    output({'message': 'next'})
    note, line = lines_of(reader)
    assert note['left_out'] == 15
    assert line['message'] == 'next'


def test_reader_that_does_not_read_never_blocks():
    reader, writer = os.pipe()
    output = BoundedOutput(writer, lines_per_second=1e9)
    for number in range(5000):
        output({'message': 'x' * 200, 'number': number})
    assert output.left_out > 0
    # What went out are whole lines, also around the full pipe.
    while True:
        seen = os.read(reader, 1 << 16)
        if len(seen) < 1 << 16:
            break


def test_reader_that_is_gone_harms_nothing():
    reader, writer = os.pipe()
    os.close(reader)
    output = BoundedOutput(writer)
    output({'message': 'a'})
    output({'message': 'b'})


def test_page_lists_all_lines():
    assert PAGE.read_text() == render(find_calls())
