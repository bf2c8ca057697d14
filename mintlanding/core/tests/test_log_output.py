"""Log output is rate limited, never blocks, and is fully documented."""

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


def test_lines_are_written_as_json():
    reader, writer = os.pipe()
    output = BoundedOutput(writer)
    output({'message': 'a', 'odd': {1, 2}})
    (line,) = lines_of(reader)
    assert line['message'] == 'a'


def test_lines_above_the_rate_limit_are_dropped_and_counted():
    reader, writer = os.pipe()
    output = BoundedOutput(writer, lines_per_second=5)
    for number in range(20):
        output({'message': str(number)})
    assert len(lines_of(reader)) == 5
    assert output.left_out == 15
    output._refilled_at -= 1
    output({'message': 'next'})
    note, line = lines_of(reader)
    assert note['left_out'] == 15
    assert line['message'] == 'next'


def test_writing_never_blocks_when_the_reader_is_stuck():
    reader, writer = os.pipe()
    output = BoundedOutput(writer, lines_per_second=1e9)
    for number in range(5000):
        output({'message': 'x' * 200, 'number': number})
    assert output.left_out > 0
    # Drain the pipe, which is full.
    while True:
        seen = os.read(reader, 1 << 16)
        if len(seen) < 1 << 16:
            break


def test_writing_to_a_closed_pipe_does_not_fail():
    reader, writer = os.pipe()
    os.close(reader)
    output = BoundedOutput(writer)
    output({'message': 'a'})
    output({'message': 'b'})


def test_reference_page_is_up_to_date():
    assert PAGE.read_text() == render(find_calls())
