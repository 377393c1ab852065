"""Pipeline routes, their stages and the check that they cover a model."""

import typing

from sardinebend_policy import errors


class ModelSpec(typing.NamedTuple):
    """A model that callers request under the name of a route."""

    model: str
    model_version: str
    layers: int


class Stage(typing.NamedTuple):
    """Part of a pipeline at one endpoint, from first to end - 1."""

    endpoint_id: str
    first_layer: int
    end_layer: int


class PipelineRoute(typing.NamedTuple):
    """Stages in layer order, all of the same model and version."""

    spec: ModelSpec
    stages: tuple[Stage, ...]

    @property
    def endpoint_ids(self) -> tuple[str, ...]:
        """Endpoints of the stages, in layer order."""
        return tuple(stage.endpoint_id for stage in self.stages)


def check_cover(layers: int, stages: typing.Sequence[Stage]) -> None:
    """Raises `errors.InvalidRoute` unless stages cover each layer once."""
    expected = 0
    for stage in stages:
        if stage.first_layer != expected or stage.end_layer <= expected:
            raise errors.InvalidRoute(
                f'stage {stage.endpoint_id} holds layers {stage.first_layer} '
                f'to {stage.end_layer}; expected to start at {expected}'
            )
        expected = stage.end_layer
    if expected != layers:
        raise errors.InvalidRoute(f'covers {expected} of {layers} layers')
    ids = [stage.endpoint_id for stage in stages]
    if len(set(ids)) != len(ids):
        raise errors.InvalidRoute(f'an endpoint is listed twice in {ids}')
