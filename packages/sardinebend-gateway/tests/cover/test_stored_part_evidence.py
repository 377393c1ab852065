"""Evidence against parts of prompts that survives a restart of all hosts."""

import pytest

from sardinebend_gateway import errors
from sardinebend_gateway import shared_table


def test_evidence_is_unchanged_by_a_round_trip():
    crashes = {'engine-1/7': 'a1b2c3d4', 'engine-2/7': 'e5f60718'}
    value = shared_table.encode_evidence(crashes)
    assert shared_table.decode_evidence(value) == crashes


@pytest.mark.parametrize('value', [b'', b'[]', b'{"engine-1/7": 3}', b'\xff'])
def test_malformed_evidence_is_rejected(value):
    with pytest.raises(errors.Malformed):
        shared_table.decode_evidence(value)
