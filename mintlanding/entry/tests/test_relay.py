"""Relay passes on whole events only, however the bytes are cut."""

from hypothesis import given
from hypothesis import strategies as st

from mintlanding.entry.relay import EventRelay

EVENTS = [b'id: %d\ndata: {"n": %d}\n\n' % (n, n) for n in range(5)]
DONE = b'data: [DONE]\n\n'


@given(st.lists(st.integers(1, 40), max_size=30))
def test_any_cut_gives_the_same_events(cuts):
    whole = b''.join(EVENTS) + DONE
    relay, sent, rest = EventRelay(), b'', whole
    for size in (*cuts, len(whole)):
        out = relay.feed(rest[:size])
        assert out == b'' or out.endswith(b'\n\n')
        sent, rest = sent + out, rest[size:]
    assert sent == whole
    assert relay.offset == len(EVENTS)
    assert relay.is_done


def test_resume_after_a_cut_event_repeats_nothing():
    relay = EventRelay()
    sent = relay.feed(EVENTS[0] + EVENTS[1][:4])
    relay.drop_rest()
    assert relay.offset == 1
    sent += relay.feed(b''.join(EVENTS[relay.offset :]) + DONE)
    assert sent == b''.join(EVENTS) + DONE
