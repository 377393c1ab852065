"""Simulates engines that hold layers, driven by the shipped policies."""

from sardinebend_simulation import baselines
from sardinebend_simulation import deployments
from sardinebend_simulation import errors
from sardinebend_simulation import reports
from sardinebend_simulation import simulations

__all__ = ['baselines', 'deployments', 'errors', 'reports', 'simulations']
