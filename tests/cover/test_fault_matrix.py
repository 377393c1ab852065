"""Tests every fault at every step, and that checkers find seeded defects."""

import pytest

from tests.common import defects
from tests.common import matrix


@pytest.mark.parametrize('kind', matrix.KINDS, ids=lambda kind: kind.name)
def test_every_fault_at_every_step_keeps_the_guarantees(kind):
    cells = matrix.run_cells(kind, matrix.list_singles(kind))
    assert [cell for cell in cells if cell.violations] == []
    assert all(cell.reached for cell in cells)


@pytest.mark.parametrize('kind', matrix.KINDS, ids=lambda kind: kind.name)
def test_without_faults_every_step_is_reached(kind):
    record = kind.run((), seed=matrix.SEED)
    assert set(record.reached) == set(kind.steps)
    assert kind.check(record) == []


@pytest.mark.parametrize('defect', defects.BOOKING_DEFECTS)
def test_booking_checker_finds_a_seeded_defect(defect):
    assert find_cells_with_violations(matrix.BOOKING, defect)


@pytest.mark.parametrize('defect', defects.DRAFT_DEFECTS)
def test_draft_checker_finds_a_seeded_defect(defect):
    assert find_cells_with_violations(matrix.DRAFT, defect)


@pytest.mark.parametrize('defect', defects.ORDERS_DEFECTS)
def test_orders_checker_finds_a_seeded_defect(defect):
    assert find_cells_with_violations(matrix.ORDERS, defect)


@pytest.mark.parametrize('defect', defects.SETTINGS_DEFECTS)
def test_settings_checker_finds_a_seeded_defect(defect):
    assert find_cells_with_violations(matrix.SETTINGS, defect)


def find_cells_with_violations(kind, defect):
    faults = matrix.list_singles(kind)
    cells = matrix.run_cells(kind, faults, tested_type=defect)
    return [cell for cell in cells if cell.violations]


def test_the_same_seed_gives_the_same_run():
    faults = (('sent', 'cut_host'), ('executed', 'table_reply_lost'))
    first = matrix.BOOKING.run(faults, seed=matrix.SEED)
    assert first == matrix.BOOKING.run(faults, seed=matrix.SEED)
