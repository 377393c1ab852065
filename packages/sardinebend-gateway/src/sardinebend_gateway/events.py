"""Names and fields of the decisions that are logged.

Each line also holds `time` (wall clock), `host` and `event`.
"""

import typing


class Event(typing.NamedTuple):
    """A kind of log line.

    Attributes:
        name: Value of `event`.
        fields: The fields of the line, for documentation.
        is_failure: Whether the line reports a loss, failure or refusal; the
            rate limit of such lines is higher.
    """

    name: str
    fields: str
    is_failure: bool = False


STARTED = Event('host_started', 'incarnation, domain, version of the program')
STOPPING = Event('host_stopping', 'in_flight, grace_s, signal_late_s')
HOST_DELAYED = Event('host_delayed', 'delay_s', True)
STOPPED = Event('host_stopped', 'in_flight, cut, unread_or_refused, after_s')
FAILED = Event('host_failed', 'error that ended the process', True)
SETTINGS_RELOADED = Event('settings_reloaded', 'changed fields')
SETTINGS_REJECTED = Event('settings_rejected', 'error', True)
CATALOG_APPLIED = Event('catalog_applied', 'version, previous, routes, age_s')
CATALOG_REFUSED = Event('catalog_refused', 'version, reason', True)
ENTRY_SKIPPED = Event('entry_skipped', 'table, key, reason', True)
ENDPOINT_SEEN = Event('endpoint_seen', 'endpoint, address, service, span')
ENDPOINT_LEAVING = Event('endpoint_leaving', 'endpoint, source')
ENDPOINT_GONE = Event('endpoint_gone', 'endpoint, source')
CONTENT_QUARANTINED = Event(
    'content_quarantined', 'content, source, for_s', True
)
PROMPT_PART_QUARANTINED = Event(
    'prompt_part_quarantined', 'prompt_part, source, for_s', True
)
PROMPT_PART_CLEARED = Event('prompt_part_cleared', 'prompt_part, crashes')
PROMPT_PART_RESTORED = Event('prompt_part_restored', 'prompt_part, crashes')
ENDPOINT_BACKOFF = Event('endpoint_backoff', 'endpoint, for_s', True)
ENDPOINT_LIMIT = Event(
    'endpoint_limit', 'endpoint, limit_per_s, previous_per_s, source', True
)
ENDPOINT_SLOW = Event(
    'endpoint_slow',
    'endpoint, factor by which it is slower than published, previous factor,'
    ' age_s of the evidence',
    True,
)
ENDPOINT_CRASHED = Event(
    'endpoint_crashed',
    'endpoint, born, evidence, requests, contents, prompt_parts',
    True,
)
ENDPOINT_DOUBTED = Event(
    'endpoint_doubted',
    'endpoint, reason, for_s, other endpoints that were silent within the last'
    ' second, bytes that wait to be sent to peers',
    True,
)
STORE_LOST = Event('store_lost', 'table, reason, evidence_age_s', True)
STORE_REGAINED = Event('store_regained', 'table, after_s')
STORE_ERA_CHANGED = Event(
    'store_era_changed',
    'table, era, previous, lost_rows, evidence_age_s',
    True,
)
LEASE_TAKEN = Event('lease_taken', 'fencing')
LEASE_LOST = Event('lease_lost', 'reason', True)
ORDER_SENT = Event('order_sent', 'endpoint, span, orders_begun, status')
PLAN_MADE = Event('plan_made', 'service, cards, ranges, uncovered layers')
REQUEST_REFUSED = Event(
    'request_refused',
    'request, route, status, reason, evidence_age_s, recent_delay_s',
    True,
)
REQUEST_SENT = Event(
    'request_sent',
    'request, route, endpoint, parts, prompt_parts, attempt, time_left_s,'
    ' recent_delay_s; where reading can break pauses prompt_tokens,'
    ' reading_token_layers, predicted_pause_s, first_slots_used; where requests'
    ' differ in rank: rank, customer, found, ahead in line, waited_s,'
    ' urgent_share, view_age_s',
)
ATTEMPT_FAILED = Event(
    'attempt_failed', 'request, endpoint, reason, next step', True
)
STREAM_STALLED = Event(
    'stream_stalled',
    'request, endpoint, idle_s, what is known of the cause, action, whether'
    ' another path and a retry are left',
)
STREAM_REPAIRED = Event('stream_repaired', 'request, dead, path, after_s')
STREAM_RESUMED = Event('stream_resumed', 'request, after_event, endpoint')
REQUEST_ENDED = Event(
    'request_ended',
    'request, route, status, took_s, bytes; ends_with_connection if nothing'
    ' but the end of the connection ended the answer, send_failure if the'
    ' request could not be sent whole; of a stream prompt_tokens,'
    ' first_event_s, longest_pause_s',
)
REQUEST_FAILED = Event(
    'request_failed',
    'request, route, end, reason, took_s; where requests differ in rank: rank,'
    ' customer, found, ahead in line, waited_s, urgent_share, view_age_s',
    True,
)
REQUEST_CANCELLED = Event(
    'request_cancelled',
    'request, route, took_s, endpoint, has_begun, answered, sent_bytes,'
    ' unsent_bytes, since_event_s',
)
REQUEST_CUT = Event(
    'request_cut',
    'request, route, took_s, arrived_after_stop_s, cut_after_stop_s, endpoint,'
    ' has_begun, answered, sent_bytes, unsent_bytes, since_event_s',
    True,
)
CONNECTION_RESET = Event(
    'connection_reset',
    'request, reason, is_answered, unread_bytes, unacknowledged_bytes',
    True,
)
CONNECTION_CLOSED_UNREAD = Event(
    'connection_closed_unread',
    'reason, idle_s, unread_bytes that came as it was closed',
    True,
)
CALLERS_GIVEN_UP = Event(
    'callers_given_up',
    'reason (descriptors, memory or bodies), connections, freed_bytes, open',
    True,
)
PEER_SEEN = Event('peer_seen', 'peer, incarnation, domain')
PEER_LOST = Event('peer_lost', 'peer, is_listed, is_leaving', True)
TABLE_RELAYED = Event(
    'table_relayed', 'table, version, rows, bytes of their values'
)
ROLE_CHANGED = Event('role_changed', 'reader, is_shared, live')
TASK_FAILED = Event('task_failed', 'task, error, again_in_s', True)
LINES_DROPPED = Event('lines_dropped', 'counts by event')

ALL: typing.Final = tuple(
    value for value in list(globals().values()) if isinstance(value, Event)
)
