"""Limits that endpoints state on the requests they take from all hosts.

Each host takes an equal share. A token for one request becomes valid at a fixed
interval, with a phase that differs between hosts, and expires if it isn't used.
The tokens that are valid at one time therefore have a bound over all hosts that
doesn't depend on their number.
"""

import math
import random
import typing

# Requests in `WINDOW_S` that an endpoint must get at most: its limit times
# `TOLERANCE`, and `EXTRA_REQUESTS`.
WINDOW_S: typing.Final = 4.0
TOLERANCE: typing.Final = 1.5
EXTRA_REQUESTS: typing.Final = 5.0
# Share of the requests beyond the limit that unused tokens may make up. The
# rest is for hosts that count the live hosts differently for a moment.
BURST_SHARE: typing.Final = 0.5
# Standard deviations between the mean of the requests in a window and the
# bound.
DEVIATIONS: typing.Final = 4.0
# Shortest time for which a token is valid.
MIN_LIFETIME_S: typing.Final = 0.1
# Rate over all hosts below which no limit is applied, so that some host learns
# that the limit has ended.
MIN_RATE_PER_S: typing.Final = 0.1
# Time after which a limit that no answer has confirmed no longer applies.
LIMIT_TTL_S: typing.Final = 30.0
# Time for which the end of a limit is reported to other hosts.
REPORT_END_FOR_S: typing.Final = 6.0
# Longest time to the next token, so that sums with it remain exact.
MAX_WAIT_S: typing.Final = 3600.0

Incarnation = tuple[str, int]


class Statement(typing.NamedTuple):
    """What an incarnation of an endpoint last stated.

    Attributes:
        incarnation: The incarnation.
        rate_per_s: Requests per second that it takes from all hosts together;
            `None` if it no longer limits them.
        stated_at: When it answered so.
    """

    incarnation: Incarnation
    rate_per_s: float | None
    stated_at: float


class _Tokens:
    """One host's tokens for one endpoint.

    Tokens become valid at `_next_at` and each interval later; `_next_at` is the
    time of the first unused one.
    """

    def __init__(
        self, rate_per_s: float, hosts: int, now: float, phase: float
    ) -> None:
        self._rate_per_s = rate_per_s
        self._hosts = hosts
        self._next_at = now + phase * self._interval_s()

    def _interval_s(self) -> float:
        rate_per_s = max(MIN_RATE_PER_S, self._rate_per_s)
        return min(MAX_WAIT_S, self._hosts / rate_per_s)

    def _lifetime_s(self) -> float:
        rate_per_s = max(MIN_RATE_PER_S, self._rate_per_s)
        spare = (TOLERANCE - 1) * rate_per_s * WINDOW_S + EXTRA_REQUESTS
        allowed = TOLERANCE * rate_per_s * WINDOW_S + EXTRA_REQUESTS
        # The phases are random, so the tokens of many hosts may be valid
        # together by chance.
        mean = _find_safe_mean(allowed, self._hosts)
        return max(
            MIN_LIFETIME_S,
            min(BURST_SHARE * spare / rate_per_s, mean / rate_per_s - WINDOW_S),
        )

    def update(self, rate_per_s: float, hosts: int, now: float) -> None:
        """Applies another rate or number of hosts to tokens still to come."""
        if (rate_per_s, hosts) == (self._rate_per_s, self._hosts):
            return
        old_interval_s = self._interval_s()
        self._rate_per_s, self._hosts = rate_per_s, hosts
        if self._next_at > now:
            share = (self._next_at - now) / old_interval_s
            self._next_at = now + share * self._interval_s()

    def wait_s(self, now: float) -> float:
        """Returns the time until a token is valid; 0 if one is."""
        expired_s = now - self._lifetime_s() - self._next_at
        if expired_s > 0:
            interval_s = self._interval_s()
            self._next_at += math.ceil(expired_s / interval_s) * interval_s
        return max(0.0, self._next_at - now)

    def take(self) -> None:
        """Uses the next token."""
        self._next_at += self._interval_s()


def _find_safe_mean(allowed: float, hosts: int) -> float:
    """Returns the mean of a count that hardly ever exceeds what is allowed.

    Each host contributes a whole number to the count and, with some
    probability, one more.
    """
    mean = allowed - DEVIATIONS * math.sqrt(hosts / 4)
    if mean >= hosts / 4:
        return mean
    # Here the variance is bounded by the mean.
    return ((math.sqrt(DEVIATIONS**2 + 4 * allowed) - DEVIATIONS) / 2) ** 2


class EndpointLimits:
    """The limits of all endpoints, and this host's tokens for them."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._statements: dict[Incarnation, Statement] = {}
        self._tokens: dict[Incarnation, _Tokens] = {}

    def record(self, statement: Statement, hosts: int, now: float) -> bool:
        """Records a statement; returns whether the limit differs from before.

        One that is older than the known one, or expired, is ignored.

        Args:
            statement: The statement.
            hosts: Number of hosts that share the limit.
            now: Current time.
        """
        known = self._statements.get(statement.incarnation)
        if statement.rate_per_s is None and (
            known is None or known.rate_per_s is None
        ):
            # The first such statement keeps the time of the end.
            return False
        if statement.stated_at <= now - LIMIT_TTL_S or (
            known is not None and statement.stated_at <= known.stated_at
        ):
            return False
        self._statements[statement.incarnation] = statement
        if statement.rate_per_s is None:
            self._tokens.pop(statement.incarnation, None)
        # Tokens accrue from now on.
        self._current_tokens(statement.incarnation, hosts, now)
        return known is None or known.rate_per_s != statement.rate_per_s

    def rate_per_s(self, incarnation: Incarnation, now: float) -> float | None:
        """Returns the limit in force, if any."""
        statement = self._statements.get(incarnation)
        if statement is None or now - statement.stated_at >= LIMIT_TTL_S:
            return None
        return statement.rate_per_s

    def wait_s(self, incarnation: Incarnation, hosts: int, now: float) -> float:
        """Returns the time until this host may send a request; 0 if it may.

        Args:
            incarnation: The incarnation of the endpoint.
            hosts: Number of hosts that share the limit.
            now: Current time.
        """
        tokens = self._current_tokens(incarnation, hosts, now)
        return 0.0 if tokens is None else tokens.wait_s(now)

    def try_take(
        self, incarnation: Incarnation, hosts: int, now: float
    ) -> bool:
        """Takes a token for one request; returns false if none is valid."""
        tokens = self._current_tokens(incarnation, hosts, now)
        if tokens is None:
            return True
        if tokens.wait_s(now) > 0:
            return False
        tokens.take()
        return True

    def _current_tokens(
        self, incarnation: Incarnation, hosts: int, now: float
    ) -> _Tokens | None:
        rate_per_s = self.rate_per_s(incarnation, now)
        if rate_per_s is None:
            return None
        tokens = self._tokens.get(incarnation)
        if tokens is None:
            tokens = _Tokens(rate_per_s, hosts, now, self._rng.random())
            self._tokens[incarnation] = tokens
        tokens.update(rate_per_s, hosts, now)
        return tokens

    def statements_to_send(self, now: float) -> list[Statement]:
        """Returns the statements that other hosts should hear of."""
        return [
            s
            for s in self._statements.values()
            if s.rate_per_s is not None or now - s.stated_at < REPORT_END_FOR_S
        ]

    def drop_expired(self, now: float) -> list[Statement]:
        """Drops old statements; returns those whose limit ends by that."""
        expired = [
            s
            for s in self._statements.values()
            if now - s.stated_at >= LIMIT_TTL_S
        ]
        for statement in expired:
            del self._statements[statement.incarnation]
            self._tokens.pop(statement.incarnation, None)
        return [s for s in expired if s.rate_per_s is not None]
