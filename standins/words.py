"""Deterministic answers of the stand-in engine.

The text of a token depends only on the prompt and the index of the token.
"""

import hashlib
import re

_LENGTH_RE = re.compile(r'\[(\d+) tokens\]')


def token_text(prompt: str, index: int) -> str:
    """Returns the text of one token of the answer to a prompt."""
    digest = hashlib.sha256(f'{index}:{prompt}'.encode()).hexdigest()
    return f'{digest[:5]} '


def answer_length(prompt: str, max_tokens: int) -> int:
    """Returns the number of tokens of the answer.

    A prompt sets the length with `[N tokens]`; `max_tokens` limits it.
    """
    match = _LENGTH_RE.search(prompt)
    length = int(match.group(1)) if match else max_tokens
    return min(length, max_tokens)


def whole_answer(prompt: str, max_tokens: int) -> str:
    """Returns the whole answer to a prompt."""
    count = answer_length(prompt, max_tokens)
    return ''.join(token_text(prompt, i) for i in range(count))
