"""Tests every pair of faults at the same step and at consecutive steps."""

import pytest

from tests.common import matrix


@pytest.mark.parametrize('kind', matrix.KINDS, ids=lambda kind: kind.name)
def test_every_pair_of_faults_keeps_the_guarantees(kind):
    cells = matrix.run_cells(kind, matrix.list_pairs(kind))
    with_violations = [cell for cell in cells if cell.violations]
    assert with_violations == []
    assert sum(cell.reached for cell in cells) > len(cells) / 2
