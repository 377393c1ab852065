"""Simulates a deployment with modelled engines."""

import pathlib
import sys

import msgspec

from sardinebend_admin import errors
from sardinebend_simulation import deployments
from sardinebend_simulation import errors as simulation_errors
from sardinebend_simulation import reports
from sardinebend_simulation import simulations


def simulate(
    deployment: str,
    *,
    seed: int = 1,
    placement: str = 'shipped',
    chooser: str = 'shipped',
    page: str = '',
) -> None:
    """Simulates a deployment in virtual time and prints the result as JSON.

    Args:
        deployment: JSON file with the deployment, or `draw:NUMBER` for a random
            one that is generated with NUMBER as its seed.
        seed: Seed of the traffic and of random choices; the same seed gives the
            same result.
        placement: Algorithm that places layers: shipped, fastest cards or
            greedy.
        chooser: Algorithm that chooses paths: shipped, random, least requests
            or round robin.
        page: File to write an HTML page with plots to.
    """
    try:
        loaded = _load(deployment)
        simulation = simulations.Simulation(loaded, seed, placement, chooser)
    except simulation_errors.InvalidDeployment as exc:
        raise errors.BadInput(f'{deployment}: {exc}') from exc
    result = simulation.run()
    data = msgspec.json.format(msgspec.json.encode(result), indent=1)
    sys.stdout.write(data.decode() + '\n')
    if page:
        _write_page(page, reports.render_page(result))


def _load(text: str) -> deployments.Deployment:
    kind, _, number = text.partition(':')
    if kind == 'draw':
        if not number.isdigit():
            raise errors.BadInput(f'{text}: expected draw:NUMBER')
        return deployments.generate(int(number))
    try:
        return deployments.decode(pathlib.Path(text).read_bytes())
    except OSError as exc:
        raise errors.BadInput(f'{text}: {exc}') from exc


def _write_page(file: str, text: str) -> None:
    try:
        pathlib.Path(file).write_text(text, 'utf-8')
    except OSError as exc:
        raise errors.BadInput(f'{file}: {exc}') from exc
