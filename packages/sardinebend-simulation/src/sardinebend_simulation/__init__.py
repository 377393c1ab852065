"""A model of engines that hold layers, driven by the shipped decisions."""

from sardinebend_simulation import baselines
from sardinebend_simulation import deployments
from sardinebend_simulation import errors
from sardinebend_simulation import reports
from sardinebend_simulation import simulations

__all__ = ['baselines', 'deployments', 'errors', 'reports', 'simulations']
