"""Paths of one endpoint that holds the whole model."""

import typing

from sardinebend_gateway import clocks
from sardinebend_gateway import state as state_lib
from sardinebend_policy import endpoints as endpoints_lib
from sardinebend_policy import paths


def find(
    state: state_lib.State,
    service: str,
    excluded_ids: typing.Collection[str],
    usable: typing.Iterable[endpoints_lib.Endpoint] | None = None,
) -> paths.Path | None:
    """Returns a path of one endpoint that holds the whole model.

    Args:
        state: The state of the host.
        service: Name of the service.
        excluded_ids: Ids of endpoints that aren't chosen.
        usable: Those to choose from; by default all that get new requests.
    """
    now = clocks.now()
    if usable is None:
        usable = state.endpoints.list_usable(service, now)
    candidates = [e for e in usable if e.endpoint_id not in excluded_ids]
    endpoint = state.balancer.choose(candidates, state.cfg.domain, now)
    if endpoint is None:
        return None
    # An empty span marks an endpoint without layers, which serves the
    # request alone.
    return (paths.Part(endpoint, endpoints_lib.Span(0, 0)),)
