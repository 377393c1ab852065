"""Plays a deployment on the model of the engines."""

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
    """Plays a deployment under a virtual clock and prints the result as JSON.

    Args:
        deployment: File with the deployment, in JSON; or `draw:NUMBER` for one
            that is drawn by that number.
        seed: Seed of the traffic; the same one gives the same result.
        placement: How layers are placed: shipped, fastest cards or greedy.
        chooser: How paths are chosen: shipped, random, least requests or
            round robin.
        page: File for a page with plots.
    """
    try:
        found = _load(deployment)
        play = simulations.Simulation(found, seed, placement, chooser)
    except simulation_errors.InvalidDeployment as exc:
        raise errors.BadInput(f'{deployment}: {exc}') from exc
    result = play.run()
    data = msgspec.json.format(msgspec.json.encode(result), indent=1)
    sys.stdout.write(data.decode() + '\n')
    if page:
        _write(page, reports.render_page(result))


def _load(text: str) -> deployments.Deployment:
    kind, _, number = text.partition(':')
    if kind == 'draw':
        if not number.isdigit():
            raise errors.BadInput(f'{text}: draw: takes a number')
        return deployments.generate(int(number))
    try:
        return deployments.decode(pathlib.Path(text).read_bytes())
    except OSError as exc:
        raise errors.BadInput(f'{text}: {exc}') from exc


def _write(file: str, text: str) -> None:
    try:
        pathlib.Path(file).write_text(text, 'utf-8')
    except OSError as exc:
        raise errors.BadInput(f'{file}: {exc}') from exc
