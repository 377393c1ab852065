"""State that is shared by the parts of one entry host, without I/O."""

import random
import secrets
import typing

import trio

from sardinebend_gateway import host_clock
from sardinebend_gateway import metrics as metrics_lib
from sardinebend_policy import admission
from sardinebend_policy import attempts
from sardinebend_policy import cancels
from sardinebend_policy import claims
from sardinebend_policy import fleet as fleet_lib
from sardinebend_policy import membership as membership_lib
from sardinebend_policy import planners
from sardinebend_policy import quarantine
from sardinebend_policy import retries
from sardinebend_policy import routes
from sardinebend_policy import stalls
from sardinebend_policy import stream_watch
from sardinebend_router import gate as gate_lib
from sardinebend_router import logs
from sardinebend_router import settings_state
from sardinebend_settings import tree as tree_lib


class InFlight(typing.NamedTuple):
    """A request in flight.

    Attributes:
        request_id: The request.
        customer: Its customer.
        kind: `draft/<route>` or `<service>.<operation>`.
        cancel: Ends it as if the caller had left.
        force_end: Ends it during the host's planned stop, when the time limit
            of the drain has passed or a second stop request has ended it.
    """

    request_id: str
    customer: str
    kind: str
    cancel: typing.Callable[[], None]
    force_end: typing.Callable[[], None]


class HostState:
    """State of one entry host's process.

    Attributes:
        own: This host, as its peers see it in the list of members.
        host_clock: Stands still while the host is held up.
        drafts: The planner, the quarantine, the retry budgets and the stream
            statistics, which all drafts share. Lookups (repeatable calls to
            plain services) use the same quarantine and retry budgets.
    """

    def __init__(
        self,
        own: membership_lib.Member,
        region: str,
        tree: tree_lib.Tree,
        fingerprint_secret: bytes,
        rng: random.Random,
    ) -> None:
        self.own = own
        self.region = region
        self.incarnation = secrets.token_hex(8)
        self.fingerprint_secret = fingerprint_secret
        self.rng = rng
        self.settings = settings_state.SettingsState(tree)
        self.metrics = metrics_lib.Metrics()
        self.host_clock = host_clock.HostClock(logs.log_delay, self.metrics)
        self.fleet = fleet_lib.Fleet()
        self.membership = membership_lib.Membership(own)
        self.cancels = cancels.CancelTracker()
        self.cancel_added = trio.Event()
        self.claims = claims.ClaimRegistry()
        self.in_flight: dict[str, InFlight] = {}
        self.open_exchanges = 0
        self.is_draining = False
        self.is_isolated = False
        self.peer_heard_at = float('-inf')
        # Drafts share the capacity of the engines. Calls to plain services
        # have a gate of their own: a booking must not wait because engines are
        # few or busy.
        max_running = int(self.get_number('admission.max_running'))
        self.gate = gate_lib.Gate(max_running)
        self.service_gate = gate_lib.Gate(max_running)
        self.drafts = self._make_draft_state()
        self.settings.add_listener(self._apply_tree)
        self.metrics.register_gauge(
            'requests_in_flight', lambda: len(self.in_flight)
        )
        self.metrics.register_gauge('drafts_waiting', lambda: self.gate.waiting)
        self.metrics.register_gauge(
            'service_calls_waiting', lambda: self.service_gate.waiting
        )
        self.metrics.register_gauge(
            'cancels_pending', lambda: self.cancels.pending
        )
        self.metrics.register_gauge(
            'settings_version', lambda: self.settings.tree.version
        )

    @property
    def is_ready(self) -> bool:
        """Whether new requests are accepted."""
        return not (
            self.is_draining
            or self.is_isolated
            or not self.settings.tree.version
        )

    def scopes(
        self, customer: str = '', route: str = '', kind: str = ''
    ) -> list[str]:
        """Returns the settings scopes of a request here, most general first.

        Args:
            customer: The request's customer.
            route: The route of a draft.
            kind: `<service>.<operation>` of a call to a plain service.
        """
        region_scope = f'fleet/region:{self.region}'
        scopes = ['fleet', region_scope]
        scopes.append(f'{region_scope}/domain:{self.own.failure_domain}')
        if customer:
            scopes.append(f'fleet/customer:{customer}')
        if route:
            scopes.append(f'fleet/customer:{customer}/route:{route}')
        if kind:
            scopes.append(f'fleet/customer:{customer}/kind:{kind}')
        return scopes

    def get_number(
        self, key: str, customer: str = '', route: str = '', kind: str = ''
    ) -> float:
        """Returns the value of a numeric setting for a request."""
        scopes = self.scopes(customer, route, kind)
        value = self.settings.tree.resolve(key, scopes).value
        return typing.cast(float, value)

    def get_text(self, key: str) -> str:
        """Returns the value of a textual setting at this host."""
        return str(self.settings.tree.resolve(key, self.scopes()).value)

    def make_ticket(
        self, request_id: str, customer: str, deadline: float
    ) -> admission.Ticket:
        """Returns the admission ticket of a request."""
        return admission.Ticket(
            request_id,
            customer,
            self.get_number('admission.weight', customer),
            int(self.get_number('admission.max_queued', customer)),
            deadline,
        )

    def update_limit(self) -> None:
        """Updates how many requests may run at this host at a time.

        Drafts get this host's share of the engines' capacity, which all live
        hosts divide among them. Calls to plain services get the maximum,
        `admission.max_running`, independently of the drafts.
        """
        now = trio.current_time()
        route_nodes = self.settings.tree.section('routes').values()
        pipelines = sum(
            planners.count_pipelines(
                self.fleet,
                routes.ModelSpec(
                    node['model'], node['model_version'], node['layers']
                ),
                now,
            )
            for node in route_nodes
        )
        max_running = int(self.get_number('admission.max_running'))
        limit = admission.share_limit(
            pipelines,
            1 + len(self.membership.list_live(self.host_clock.now())),
            max_running,
            self.get_number('admission.headroom'),
        )
        self.gate.set_max_running(limit)
        self.service_gate.set_max_running(max_running)

    def wake_cancel_sender(self) -> None:
        """Wakes the task that sends cancels."""
        self.cancel_added.set()

    def _make_draft_state(self) -> attempts.Shared:
        planner = planners.make_planner(
            self.get_text('routing.policy'), self.fleet, self.rng
        )
        return attempts.Shared(
            self.fleet,
            planner,
            quarantine.Quarantine(self.get_number('quarantine.hold_s')),
            retries.BudgetPool(
                self.get_number('retry.budget_ratio'),
                int(self.get_number('retry.budget_floor')),
            ),
            stream_watch.Gaps(stalls.GapTracker(), stalls.GapTracker()),
            self.rng,
        )

    def _apply_tree(self, tree: tree_lib.Tree) -> None:
        specs = [
            fleet_lib.EndpointSpec(
                name,
                node['url'],
                node['failure_domain'],
                node.get('service', ''),
                node.get('model', ''),
                node.get('model_version', ''),
                node.get('first_layer', 0),
                node.get('end_layer', 0),
                node.get('layer_cost_us', 100.0),
                node.get('batch_slots', 16),
            )
            for name, node in tree.section('endpoints').items()
        ]
        self.fleet.apply_specs(specs)
        planner = planners.make_planner(
            self.get_text('routing.policy'), self.fleet, self.rng
        )
        self.drafts = self.drafts._replace(planner=planner)
