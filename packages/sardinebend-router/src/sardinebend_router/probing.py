"""Probes endpoints and decides from the answers whether they are dead."""

import typing

import trio

from sardinebend_policy import draft_messages as msg
from sardinebend_router import engines
from sardinebend_store import errors as platform_errors

# An inconclusive probe is repeated. That the same happens again by chance is
# unlikely, so the last answer counts as it is.
MAX_PROBES: typing.Final = 3
# A probe that took longer than its time-out by this factor was delayed by this
# host, for example for lack of processor time, and not by the endpoint.
DELAY_FACTOR: typing.Final = 1.5

ProbeAnswer = engines.Health | platform_errors.PlatformError


async def probe(
    driver: engines.PipelineDriver, endpoint_id: str, timeout_s: float
) -> ProbeAnswer:
    """Returns an endpoint's health, or the error of the last probe.

    Two answers are inconclusive, since they don't distinguish a crash from an
    endpoint that is merely silent: an ending process may close its streams
    before its listener, so that a connection is still taken, or being opened,
    when it is reset; and a host that got no processor time sees a refused
    connection only after the time-out. Both are probed again, because the
    request behind a crash that isn't counted may crash one more endpoint.
    """
    for _ in range(MAX_PROBES):
        started_at = trio.current_time()
        answer = await driver.probe(endpoint_id, timeout_s)
        took_s = trio.current_time() - started_at
        if not _is_inconclusive(answer, took_s, timeout_s):
            break
    return answer


def find_death(
    endpoint_id: str, known_incarnation: str, answer: ProbeAnswer
) -> msg.DeadEndpoint | None:
    """Returns what shows that an endpoint is dead, `None` if it is live."""
    if isinstance(answer, platform_errors.PlatformError):
        refused = getattr(answer, 'refused', False)
        return msg.DeadEndpoint(endpoint_id, known_incarnation, refused)
    current_incarnation = answer.get('incarnation', '')
    if known_incarnation and current_incarnation != known_incarnation:
        return msg.DeadEndpoint(endpoint_id, known_incarnation, True)
    return None


def _is_inconclusive(
    answer: ProbeAnswer, took_s: float, timeout_s: float
) -> bool:
    if not isinstance(answer, platform_errors.PlatformError):
        return False
    if getattr(answer, 'refused', False):
        return False
    has_failed_early = took_s < timeout_s
    return has_failed_early or took_s > DELAY_FACTOR * timeout_s
