"""Reads of the store by a whole fleet after it came back from a copy."""

import pytest

from sardinebend_policy import readers
from tests.common import return_reads

HOSTS = 24
TABLES = 3
# All bounds of the pages for what an operator or a server has written.
BOUND_S = 5.0


# Guards against all hosts reading whole tables at once: after an outage that
# outlasted the evidence of their readers, each one learnt of the new era from
# the store itself.
@pytest.mark.parametrize('outage_s', return_reads.OUTAGES_S)
def test_only_readers_read_whole_tables_after_a_return(outage_s):
    counted = return_reads.count(HOSTS, outage_s)
    # A reader may have to read a table a second time, no one else.
    assert counted.whole <= 2 * readers.READERS * TABLES
    assert counted.era_s < BOUND_S
    assert counted.current_s < BOUND_S
