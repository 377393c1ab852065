"""The decisions of an entry host, without I/O, clocks or global randomness."""

from sardinebend_policy import admission
from sardinebend_policy import attempts
from sardinebend_policy import booking_messages
from sardinebend_policy import bookings
from sardinebend_policy import cancels
from sardinebend_policy import claims
from sardinebend_policy import draft_messages
from sardinebend_policy import drafts
from sardinebend_policy import errors
from sardinebend_policy import fleet
from sardinebend_policy import lease
from sardinebend_policy import lookups
from sardinebend_policy import membership
from sardinebend_policy import orders
from sardinebend_policy import outcomes
from sardinebend_policy import planners
from sardinebend_policy import quarantine
from sardinebend_policy import retries
from sardinebend_policy import routes
from sardinebend_policy import stalls
from sardinebend_policy import stream_watch

__all__ = [
    'admission',
    'attempts',
    'booking_messages',
    'bookings',
    'cancels',
    'claims',
    'draft_messages',
    'drafts',
    'errors',
    'fleet',
    'lease',
    'lookups',
    'membership',
    'orders',
    'outcomes',
    'planners',
    'quarantine',
    'retries',
    'routes',
    'stalls',
    'stream_watch',
]
