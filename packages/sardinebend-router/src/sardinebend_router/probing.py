"""Asks endpoints whether they live, and judges what that says."""

import typing

import trio

from sardinebend_policy import draft_messages as msg
from sardinebend_router import engines
from sardinebend_store import errors as platform_errors

# A probe that proves nothing is repeated: twice in a row is no accident.
MAX_PROBES: typing.Final = 3
# Beyond its time-out by this factor, it was this host that was held up.
HELD_UP: typing.Final = 1.5

ProbeAnswer = engines.Health | platform_errors.PlatformError


async def probe(
    driver: engines.PipelineDriver, endpoint_id: str, timeout_s: float
) -> ProbeAnswer:
    """Returns an endpoint's health, or how it failed to tell it.

    A process that is just ending may still take a connection, which is then
    reset; and a host that got no processor time hears a refusal only after
    the time-out. Neither tells a crash from silence, and a crash that isn't
    counted costs one more endpoint, so both are asked again.
    """
    for _ in range(MAX_PROBES):
        started = trio.current_time()
        answer = await driver.probe(endpoint_id, timeout_s)
        took_s = trio.current_time() - started
        if not _proves_nothing(answer, took_s, timeout_s):
            break
    return answer


def judge(
    endpoint_id: str, known_incarnation: str, answer: ProbeAnswer
) -> msg.DeadEndpoint | None:
    """Returns what a probe says against an endpoint, or `None`."""
    if isinstance(answer, platform_errors.PlatformError):
        refused = getattr(answer, 'refused', False)
        return msg.DeadEndpoint(endpoint_id, known_incarnation, refused)
    now_incarnation = answer.get('incarnation', '')
    if known_incarnation and now_incarnation != known_incarnation:
        return msg.DeadEndpoint(endpoint_id, known_incarnation, True)
    return None


def _proves_nothing(
    answer: ProbeAnswer, took_s: float, timeout_s: float
) -> bool:
    if not isinstance(answer, platform_errors.PlatformError):
        return False
    if getattr(answer, 'refused', False):
        return False
    was_cut = isinstance(answer, platform_errors.ExchangeFailed)
    return took_s > HELD_UP * timeout_s or (was_cut and took_s < timeout_s)
