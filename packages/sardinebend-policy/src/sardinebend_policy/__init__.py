"""Decision logic of an entry host, without I/O, clocks or global randomness."""

from sardinebend_policy import admission
from sardinebend_policy import attempts
from sardinebend_policy import balancing
from sardinebend_policy import booking_messages
from sardinebend_policy import bookings
from sardinebend_policy import cancels
from sardinebend_policy import catalog
from sardinebend_policy import claims
from sardinebend_policy import draft_messages
from sardinebend_policy import drafts
from sardinebend_policy import endpoints
from sardinebend_policy import errors
from sardinebend_policy import fleet
from sardinebend_policy import fleet_shares
from sardinebend_policy import forwarding
from sardinebend_policy import inflight
from sardinebend_policy import lease
from sardinebend_policy import liveness
from sardinebend_policy import lookups
from sardinebend_policy import membership
from sardinebend_policy import orders
from sardinebend_policy import outcomes
from sardinebend_policy import part_evidence
from sardinebend_policy import path_cache
from sardinebend_policy import paths
from sardinebend_policy import placement
from sardinebend_policy import planners
from sardinebend_policy import quarantine
from sardinebend_policy import readers
from sardinebend_policy import retries
from sardinebend_policy import routes
from sardinebend_policy import silences
from sardinebend_policy import stalls
from sardinebend_policy import stream_watch
from sardinebend_policy import suspects

__all__ = [
    'admission',
    'attempts',
    'balancing',
    'booking_messages',
    'bookings',
    'cancels',
    'catalog',
    'claims',
    'draft_messages',
    'drafts',
    'endpoints',
    'errors',
    'fleet',
    'fleet_shares',
    'forwarding',
    'inflight',
    'lease',
    'liveness',
    'lookups',
    'membership',
    'orders',
    'outcomes',
    'part_evidence',
    'path_cache',
    'paths',
    'placement',
    'planners',
    'quarantine',
    'readers',
    'retries',
    'routes',
    'silences',
    'stalls',
    'stream_watch',
    'suspects',
]
