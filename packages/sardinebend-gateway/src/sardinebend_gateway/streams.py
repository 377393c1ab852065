"""Serves streamed requests along paths of engines, with retries.

Two tasks serve each attempt: `stream_attempt` forwards events to the caller,
and `stream_watchdog` acts when no events arrive. `stream_race` runs a second
attempt beside one that is silent.
"""

import trio

from sardinebend_gateway import calls as calls_lib
from sardinebend_gateway import endings
from sardinebend_gateway import errors
from sardinebend_gateway import exchange as exchange_lib
from sardinebend_gateway import ranked_lines
from sardinebend_gateway import stream_paths
from sardinebend_gateway import stream_race
from sardinebend_gateway import stream_rivals
from sardinebend_policy import forwarding


class StreamRequestHandler:
    """Serves one streamed request, with one or more attempts."""

    def __init__(
        self,
        exchange: exchange_lib.Exchange,
        engine_calls: calls_lib.EngineCalls,
        lines: ranked_lines.RankedLines,
    ) -> None:
        self._exchange = exchange
        self._calls = engine_calls
        self._position = stream_rivals.Position(
            exchange.admitted.facts.resume_after
        )
        self._paths = stream_paths.PathChooser(exchange, lines)
        self._reason = ''

    async def run(self) -> None:
        """Serves the request and answers the caller."""
        try:
            await self._run()
        finally:
            self._paths.close()

    async def _run(self) -> None:
        exchange = self._exchange
        exchange.attempts_scope.deadline = exchange.admitted.ends_at
        with exchange.attempts_scope:
            await self._run_attempts()
            return
        if exchange.out.is_ended:
            # The whole answer is there; what is unsent is sent, if late.
            return
        if exchange.out.is_started:
            self._abort_stream('route timeout')
        else:
            await exchange.send_timeout()

    async def _run_attempts(self) -> None:
        exchange = self._exchange
        end = forwarding.End.NOT_RUN
        while True:
            quarantine_s = exchange.quarantine_left_s()
            if quarantine_s:
                step = exchange.ledger.give_up_step()
                await self._finish(
                    step, exchange_lib.QUARANTINED, None, quarantine_s
                )
                return
            choice = await self._paths.choose()
            if choice is None:
                step = exchange.ledger.give_up_step()
                reason = self._reason or self._paths.explain_missing_path()
                wait_s = self._paths.retry_after_s()
                await self._finish(step, reason, None, wait_s)
                return
            race = stream_race.StreamRace(
                exchange, self._calls, self._paths, self._position
            )
            end, reply = await race.run(choice)
            self._reason = race.reason or self._reason
            if end is forwarding.End.ANSWERED:
                if reply is not None:
                    await exchange.send_reply(reply)
                return
            step = self._next_step(end)
            is_repeat = end is not forwarding.End.UNREACHED
            if (
                step is forwarding.Step.RETRY
                and is_repeat
                and not await self._take_retry()
            ):
                self._reason += ', no retry budget'
                step = exchange.ledger.final_step(end)
            if step is not forwarding.Step.RETRY:
                await self._finish(step, self._reason, reply)
                return

    async def _take_retry(self) -> bool:
        """Takes a retry from the shared budget.

        A begun stream waits for one: each new request adds to the budget.

        Returns:
            Whether it has got one.
        """
        exchange = self._exchange
        if exchange.try_spend_retry():
            return True
        if not exchange.out.is_started:
            return False
        clock = exchange.state.host_clock
        with clock.move_on_after(stream_paths.RESUME_WAIT_S):
            while True:
                await trio.sleep(stream_paths.POLL_S)
                if exchange.try_spend_retry():
                    return True
        return False

    def _next_step(self, end: forwarding.End) -> forwarding.Step:
        """Returns what to do after an attempt that didn't answer.

        A caller whose answer hasn't begun may come back after a refusal; one
        whose stream has begun loses it.
        """
        exchange = self._exchange
        step = exchange.ledger.next_step(end, exchange.time_left_s())
        if (
            exchange.out.is_started
            and exchange.time_left_s() > 0
            and exchange.ledger.may_ask_again(end)
        ):
            return forwarding.Step.RETRY
        return step

    async def _finish(
        self,
        step: forwarding.Step,
        reason: str,
        reply: exchange_lib.Reply | None,
        retry_after_s: float | None = None,
    ) -> None:
        exchange = self._exchange
        exchange.ending.inputs = self._paths.make_refusal_fields()
        if exchange.out.is_started:
            self._abort_stream(reason)
        elif step is forwarding.Step.PASS_ON and reply is not None:
            await exchange.send_reply(reply)
        else:
            if retry_after_s is None:
                retry_after_s = self._paths.book_return_s()
            await exchange.send_error(step, reason, retry_after_s)

    def _abort_stream(self, reason: str) -> None:
        """Aborts a started stream so that it isn't mistaken for a complete one.

        The raised error makes the server reset the caller's connection.
        """
        self._exchange.ending.record_failed(endings.BROKEN_OFF, reason)
        raise errors.ConnectionAborted(reason)
