"""Serves drafts: `POST /v1/completions`."""

import hashlib
import time
import typing

import msgspec
import trio

from sardinebend_policy import draft_messages as msg
from sardinebend_policy import outcomes
from sardinebend_policy import quarantine
from sardinebend_policy import routes
from sardinebend_router import auth
from sardinebend_router import calls
from sardinebend_router import draft_runner
from sardinebend_router import drafting
from sardinebend_router import errors
from sardinebend_router import problems
from sardinebend_router import state as state_lib

PREFIX_CHARS: typing.Final = 64
KEEP_ALIVE_S: typing.Final = 5.0
EVENT_STREAM: typing.Final = 'text/event-stream'
DEFAULT_MAX_TOKENS: typing.Final = 256


class CompletionBody(typing.TypedDict, total=False):
    """The request body.

    Attributes:
        model: Name of the route that the draft uses.
        prompt: Text to complete.
        max_tokens: Largest number of tokens to generate.
        stream: Whether the answer is sent as server-sent events.
    """

    model: typing.Required[str]
    prompt: typing.Required[str]
    max_tokens: int
    stream: bool


class Completions:
    """Handles the requests for drafts at one host."""

    def __init__(
        self, state: state_lib.HostState, runner: draft_runner.DraftRunner
    ) -> None:
        self._state = state
        self._runner = runner

    async def serve(self, call: calls.Call, caller: auth.Caller) -> None:
        """Handles one draft from its request to its typed outcome."""
        state = self._state
        customer = caller.name
        limit = int(state.get_number('request.max_body_bytes', customer))
        wait_s = state.get_number('request.body_wait_s', customer)
        raw_body = await call.read_body(limit, wait_s)
        body = calls.parse_json(raw_body, CompletionBody)
        request = self._make_request(call, customer, body, raw_body)
        route = body['model']
        session_runner = self._runner.make_session_runner(request, route)
        writer = _AnswerWriter(call, session_runner.answer, request, body)
        write_wait_s = state.get_number('request.write_wait_s', customer)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(call.watch)
            nursery.start_soon(writer.watch_for_stalled_caller, write_wait_s)
            written = trio.Event()
            nursery.start_soon(writer.run, written)
            await self._runner.run(call.caller, session_runner, request, route)
            await written.wait()
            nursery.cancel_scope.cancel()

    def _make_request(
        self,
        call: calls.Call,
        customer: str,
        body: CompletionBody,
        raw_body: bytes,
    ) -> msg.DraftRequest:
        state = self._state
        route = state.settings.tree.section('routes').get(body['model'])
        if route is None:
            raise errors.NotFound(f'unknown route {body["model"][:64]!r}')
        spec = routes.ModelSpec(
            route['model'], route['model_version'], route['layers']
        )
        token_limit = int(
            state.get_number('draft.max_tokens', customer, body['model'])
        )
        max_tokens = body.get(
            'max_tokens', min(DEFAULT_MAX_TOKENS, token_limit)
        )
        if not 1 <= max_tokens <= token_limit:
            raise errors.MalformedBody(
                f'max_tokens is {max_tokens}; expected 1 to {token_limit}'
            )
        limit_s = state.get_number(
            'request.deadline_s', customer, body['model']
        )
        deadline = trio.current_time() + call.read_timeout_s(limit_s)
        fingerprint = quarantine.make_fingerprint(
            state.fingerprint_secret,
            customer,
            f'draft/{body["model"]}',
            raw_body,
        )
        prefix = body['prompt'][:PREFIX_CHARS].encode()
        return msg.DraftRequest(
            call.request_id,
            customer,
            fingerprint,
            spec,
            body['prompt'],
            max_tokens,
            deadline,
            hashlib.sha256(prefix).hexdigest()[:16],
        )


class _AnswerWriter:
    """Writes a draft's answer to the caller, as a stream or in one reply.

    In a stream, a token is written at once if no write is in progress; tokens
    that arrive during a write are written together after it.
    """

    def __init__(
        self,
        call: calls.Call,
        answer: drafting.Answer,
        request: msg.DraftRequest,
        body: CompletionBody,
    ) -> None:
        self._call = call
        self._answer = answer
        self._request = request
        self._model = body['model']
        self._is_streamed = body.get('stream', False)
        self._created = int(time.time())
        self._write_started_at: float | None = None

    async def run(self, written: trio.Event) -> None:
        """Writes the answer until it is complete or the caller has left."""
        try:
            if self._is_streamed:
                await self._write_stream()
            else:
                await self._write_whole()
        finally:
            written.set()

    async def watch_for_stalled_caller(self, limit_s: float) -> None:
        """Treats a caller that stopped reading as one that left.

        The server's writes can't be cancelled. So this task only ends the
        work upstream when a write takes longer than `limit_s`; the blocked
        write itself ends when the socket's own time limit expires.
        """
        while True:
            await trio.sleep(limit_s / 4)
            started_at = self._write_started_at
            if (
                started_at is not None
                and trio.current_time() - started_at > limit_s
            ):
                self._call.caller.mark_disconnected()

    async def _write_whole(self) -> None:
        while self._answer.outcome is None:
            await self._answer.wait_for_more_than(len(self._answer.tokens))
        outcome = self._answer.outcome
        if self._call.caller.disconnected.is_set():
            return
        if not isinstance(outcome, outcomes.Answered):
            problem = problems.from_outcome(outcome, self._request.request_id)
            await self._call.reply_problem(problem)
            return
        text = ''.join(self._answer.tokens)
        body = self._make_body(text, self._finish_reason())
        body['usage'] = {'completion_tokens': outcome.tokens}
        await self._call.reply_json(200, body)

    async def _write_stream(self) -> None:
        sent_count = 0
        while True:
            with trio.move_on_after(KEEP_ALIVE_S) as wait_scope:
                await self._answer.wait_for_more_than(sent_count)
            if self._call.caller.disconnected.is_set():
                return
            tokens = self._answer.tokens
            if sent_count < len(tokens):
                events = [
                    self._make_event(text) for text in tokens[sent_count:]
                ]
                sent_count = len(tokens)
                await self._write(b''.join(events))
            elif self._answer.outcome is not None:
                await self._write_end(self._answer.outcome)
                return
            elif wait_scope.cancelled_caught and sent_count:
                await self._write(b': keep-alive\n\n')

    async def _write_end(self, outcome: outcomes.Outcome) -> None:
        if isinstance(outcome, outcomes.Answered):
            body = self._make_body('', self._finish_reason())
            body['usage'] = {'completion_tokens': outcome.tokens}
            last_event = b'data: ' + msgspec.json.encode(body) + b'\n\n'
            await self._write(last_event + b'data: [DONE]\n\n', more=False)
            return
        problem = problems.from_outcome(outcome, self._request.request_id)
        if not self._call.has_started:
            await self._call.reply_problem(problem)
            return
        data = msgspec.json.encode(problem)
        await self._write(b'event: error\ndata: ' + data + b'\n\n', more=False)

    async def _write(self, data: bytes, more: bool = True) -> None:
        self._write_started_at = trio.current_time()
        if not self._call.has_started:
            headers = [(b'cache-control', b'no-store')]
            await self._call.start(200, EVENT_STREAM, headers)
        await self._call.write(data, more)
        self._write_started_at = None

    def _finish_reason(self) -> str:
        has_all_tokens = len(self._answer.tokens) >= self._request.max_tokens
        return 'length' if has_all_tokens else 'stop'

    def _make_event(self, text: str) -> bytes:
        body = self._make_body(text, None)
        return b'data: ' + msgspec.json.encode(body) + b'\n\n'

    def _make_body(
        self, text: str, finish_reason: str | None
    ) -> dict[str, typing.Any]:
        choice = {'index': 0, 'text': text, 'finish_reason': finish_reason}
        return {
            'id': self._request.request_id,
            'object': 'text_completion',
            'created': self._created,
            'model': self._model,
            'choices': [choice],
        }
