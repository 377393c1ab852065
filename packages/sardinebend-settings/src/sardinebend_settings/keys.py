"""Declares each inheritable key: type, unit, range, default and purpose."""

import typing

from sardinebend_settings import errors

Value = bool | int | float | str


class Key(typing.NamedTuple):
    """One inheritable setting.

    Attributes:
        name: Dotted name, as written in settings.
        default: Value where no scope sets one; its type is the key's type.
        low: Smallest allowed number, inclusive.
        high: Largest allowed number, inclusive.
        unit: Unit of the value, empty for plain counts and ratios.
        purpose: One sentence for the reference page.
        choices: Allowed values, for a key whose type is text.
    """

    name: str
    default: Value
    low: float
    high: float
    unit: str
    purpose: str
    choices: tuple[str, ...] = ()

    def check(self, path: str, value: object) -> Value:
        """Returns the value, or raises `errors.InvalidSetting`."""
        if isinstance(self.default, bool):
            if not isinstance(value, bool):
                raise errors.InvalidSetting(path, value, 'true or false')
            return value
        if isinstance(self.default, str):
            if not isinstance(value, str) or value not in self.choices:
                allowed = f'one of {", ".join(self.choices)}'
                raise errors.InvalidSetting(path, value, allowed)
            return value
        return self._check_number(path, value)

    def _check_number(self, path: str, value: object) -> Value:
        whole = isinstance(self.default, int)
        accepted_types = int if whole else (int, float)
        allowed = (
            f'{"a whole number" if whole else "a number"} from {self.low:g} to '
            f'{self.high:g}{" " + self.unit if self.unit else ""}'
        )
        if isinstance(value, bool) or not isinstance(value, accepted_types):
            raise errors.InvalidSetting(path, value, allowed)
        # The range check is negated so that it refuses NaN as well, for which
        # both `value < low` and `value > high` are false.
        if not self.low <= value <= self.high:
            raise errors.InvalidSetting(path, value, allowed)
        return value if whole else float(value)


_ALL_KEYS = (
    Key('draft.max_attempts', 3, 1, 10, '', 'Attempts made for one draft.'),
    Key(
        'draft.max_tokens',
        2048,
        1,
        131072,
        'tokens',
        'Largest answer a caller may ask for.',
    ),
    Key(
        'draft.stall_floor_s',
        0.5,
        0.05,
        60.0,
        's',
        'Shortest silence of a stream that is treated as a stall.',
    ),
    Key(
        'draft.stall_ceiling_s',
        10.0,
        0.1,
        600.0,
        's',
        'Longest silence of a stream that is tolerated.',
    ),
    Key(
        'draft.first_token_s',
        5.0,
        0.1,
        600.0,
        's',
        'Longest wait for the first token of an attempt.',
    ),
    Key(
        'draft.suspicion_wait_s',
        0.5,
        0.0,
        10.0,
        's',
        'Longest wait for peers to acknowledge a suspicion before a retry.',
    ),
    Key(
        'request.deadline_s',
        60.0,
        0.1,
        3600.0,
        's',
        'Deadline of a request that names none, and the largest one accepted.',
    ),
    Key(
        'request.max_body_bytes',
        1048576,
        1024,
        67108864,
        'bytes',
        'Largest request body.',
    ),
    Key(
        'request.idle_wait_s',
        30.0,
        0.5,
        600.0,
        's',
        'Longest wait for the next request, or for its headers, on an open '
        'connection; read when a host starts.',
    ),
    Key(
        'request.body_wait_s',
        10.0,
        0.1,
        600.0,
        's',
        'Longest wait for a whole request body.',
    ),
    Key(
        'request.write_wait_s',
        15.0,
        0.5,
        600.0,
        's',
        'Longest wait for a caller to read what was written to it.',
    ),
    Key(
        'endpoint.connect_s',
        1.0,
        0.05,
        30.0,
        's',
        'Longest wait for a connection to an endpoint.',
    ),
    Key(
        'endpoint.probe_s',
        1.0,
        0.05,
        30.0,
        's',
        'Longest wait for the answer to a probe on a new connection.',
    ),
    Key(
        'service.reply_s',
        10.0,
        0.1,
        600.0,
        's',
        'Longest wait for the reply of a plain service.',
    ),
    Key(
        'claim.insert_wait_s',
        3.0,
        0.1,
        60.0,
        's',
        'Longest time spent settling the insert of a claim.',
    ),
    Key(
        'claim.ask_interval_s',
        0.2,
        0.01,
        10.0,
        's',
        'Pause between two questions to the host that holds a claim.',
    ),
    Key(
        'quarantine.hold_s',
        600.0,
        1.0,
        86400.0,
        's',
        'Time for which a convicted fingerprint is refused.',
    ),
    Key(
        'retry.budget_ratio',
        0.2,
        0.0,
        1.0,
        '',
        'Retries allowed per recent success.',
    ),
    Key(
        'retry.budget_floor',
        10,
        0,
        10000,
        '',
        'Retries allowed when there were no recent successes.',
    ),
    Key(
        'retry.backoff_base_s',
        0.05,
        0.001,
        10.0,
        's',
        'Shortest pause before a retry.',
    ),
    Key(
        'retry.backoff_cap_s',
        2.0,
        0.01,
        60.0,
        's',
        'Longest pause before a retry.',
    ),
    Key(
        'admission.weight',
        1.0,
        0.01,
        1000.0,
        '',
        "A customer's share of the queue relative to the others.",
    ),
    Key(
        'admission.max_running',
        256,
        1,
        100000,
        'requests',
        'Requests that one entry host runs at once.',
    ),
    Key(
        'admission.headroom',
        2.0,
        0.1,
        100.0,
        '',
        'Drafts admitted per draft that the engines carry at full speed.',
    ),
    Key(
        'admission.max_queued',
        512,
        0,
        100000,
        'requests',
        'Requests of one customer that wait at one entry host.',
    ),
    Key(
        'routing.policy',
        'slowest_stage',
        0,
        0,
        '',
        'How a pipeline is chosen.',
        ('slowest_stage', 'least_loaded', 'round_robin', 'random'),
    ),
    Key(
        'hosts.answer_ttl_s',
        10,
        1,
        3600,
        's',
        'Time for which callers may keep the answer of /v1/hosts.',
    ),
    Key(
        'hosts.drain_wait_s',
        300.0,
        0.0,
        86400.0,
        's',
        'Longest time that a planned stop waits for requests in flight.',
    ),
    Key(
        'settings.blind_after_s',
        15.0,
        1.0,
        3600.0,
        's',
        'Time without table and peers after which new requests are refused.',
    ),
)

KEYS: typing.Final[dict[str, Key]] = {key.name: key for key in _ALL_KEYS}


def get(name: str, path: str) -> Key:
    """Returns the declaration of a key, or raises `errors.UnknownSetting`.

    Args:
        name: Name of the key.
        path: Where the name was found, for the error message.
    """
    try:
        return KEYS[name]
    except KeyError:
        raise errors.UnknownSetting(
            path, name, 'the settings reference lists the known keys'
        ) from None
