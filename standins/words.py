"""The text that a stand-in engine answers, a function of prompt and index."""

import hashlib
import re

_LENGTH_RE = re.compile(r'\[(\d+) tokens\]')


def token_text(prompt: str, index: int) -> str:
    """Returns the text of one token of the answer to a prompt."""
    digest = hashlib.sha256(f'{index}:{prompt}'.encode()).hexdigest()
    return f'{digest[:5]} '


def answer_length(prompt: str, max_tokens: int) -> int:
    """Returns the number of tokens of the answer.

    A prompt can ask for a length with `[N tokens]`.
    """
    match = _LENGTH_RE.search(prompt)
    wanted = int(match.group(1)) if match else max_tokens
    return min(wanted, max_tokens)


def whole_answer(prompt: str, max_tokens: int) -> str:
    """Returns the whole answer to a prompt."""
    count = answer_length(prompt, max_tokens)
    return ''.join(token_text(prompt, i) for i in range(count))
