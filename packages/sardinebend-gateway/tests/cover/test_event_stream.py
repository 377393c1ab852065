"""Tests of splitting an event stream whose bytes arrive in any pieces."""

import hypothesis
from hypothesis import strategies as st

from sardinebend_gateway import event_stream

EVENTS = [b'id: 1\ndata: x\n\n', b': note\r\n\r\n', b'id: 2\ndata: \n\n']


@hypothesis.given(
    st.lists(st.sampled_from(EVENTS), max_size=6),
    st.lists(st.integers(1, 9), min_size=1),
    st.binary(max_size=3).filter(lambda data: b'\n' not in data),
)
@hypothesis.settings(derandomize=True, deadline=None, database=None)
def test_events_are_returned_complete_and_in_order(
    events, sizes, partial_event
):
    data = b''.join(events) + partial_event
    splitter = event_stream.EventSplitter()
    returned_events = []
    piece_count = 0
    while data:
        size = sizes[piece_count % len(sizes)]
        piece_count += 1
        returned_events += splitter.feed(data[:size])
        data = data[size:]
    assert [event.data for event in returned_events] == events
    assert splitter.partial_event_bytes == len(partial_event)
    assert splitter.has_partial_event == bool(partial_event.strip())
