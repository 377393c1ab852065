"""The page of logged decisions."""

import pathlib

from bench import events_page
from sardinebend_gateway import events

ROOT = pathlib.Path(__file__).parents[2]


def test_the_page_matches_the_calls_that_log():
    page = (ROOT / events_page.PAGE).read_text('utf-8')
    assert page == events_page.render(ROOT), 'run `make reference`'


def test_every_logged_event_is_defined_once():
    names = [event.name for event in events.ALL]
    assert len(names) == len(set(names))
    for call in events_page.find_calls(ROOT):
        assert isinstance(getattr(events, call.name), events.Event)
