"""Event streams, split into whole events however their bytes come."""

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
def test_events_come_whole_and_in_order(events, sizes, torn):
    data = b''.join(events) + torn
    splitter = event_stream.EventSplitter()
    found = []
    turn = 0
    while data:
        size = sizes[turn % len(sizes)]
        turn += 1
        found += splitter.feed(data[:size])
        data = data[size:]
    assert [event.data for event in found] == events
    assert splitter.partial_event_bytes == len(torn)
    assert splitter.has_partial_event == bool(torn.strip())
