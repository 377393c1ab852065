"""Entries that another writer may have left among those of the servers."""

import json

DEEP = b'[' * 100_000 + b']' * 100_000
DEEP_OBJECTS = b'{"x":' * 100_000 + b'1' + b'}' * 100_000

# Bytes that are no JSON object at all.
NO_OBJECTS = {
    'nothing': b'',
    'not UTF-8': b'{"x": "\xff"}',
    'not JSON': b'{',
    'a list': b'[]',
    'null': b'null',
    'deep lists': DEEP,
    'deep objects': DEEP_OBJECTS,
    'unfinished lists': b'[' * 100_000,
    'a number of 5,000 digits': b'9' * 5000,
    'NaN': b'NaN',
}
# Values for a field, as JSON.
BAD_COUNTS = {
    'negative': b'-1',
    'beyond 64 bits': b'18446744073709551616',
    '400 digits': b'9' * 400,
    '5,000 digits': b'9' * 5000,
    'a fraction': b'1.5',
    'NaN': b'NaN',
    'infinity': b'Infinity',
    '1e999': b'1e999',
    'a text': b'"8"',
    'a truth value': b'true',
    'null': b'null',
    'a list': b'[]',
    'deep': DEEP,
}
BAD_TEXTS = {
    'a number': b'7',
    'null': b'null',
    'an object': b'{}',
    'a lone surrogate': b'"\\ud800"',
    'a lone surrogate and more': b'"\\ud800 and text"',
    'not UTF-8': b'"\xff"',
    'deep': DEEP,
}
BAD_ADDRESSES = (
    '',
    ':',
    ':80',
    '127.0.0.1',
    '127.0.0.1:',
    '127.0.0.1:0',
    '127.0.0.1:-1',
    '127.0.0.1:080',
    '127.0.0.1:65536',
    '127.0.0.1:99999',
    '127.0.0.1:' + '9' * 5000,
    '127.0.0.1:\u0663',
    '127.0.0.1:\xb2',
    '127.0.0.1:80 ',
    '127.0.0.256:80',
    '127.0.0.1\0:80',
    '127.0.0.1\r\nX: y:80',
    'user@127.0.0.1:80',
    '127.0.0.1#:80',
    '::1:80',
    '[::1:80',
    '[::1%25lo]:80',
    'localhost:80',
    'nowhere.invalid:80',
    'a..b:80',
    'x' * 300 + ':80',
)


def set_field(entry, path, raw):
    """Returns an entry as JSON in which a field has a value given as JSON."""
    *parents, name = path.split('.')
    changed = json.loads(json.dumps(entry))
    place = changed
    for parent in parents:
        place = place[parent]
    place[name] = '@@'
    return json.dumps(changed).encode().replace(b'"@@"', raw)


def without(entry, name):
    return json.dumps({k: v for k, v in entry.items() if k != name}).encode()


# Lines in the head of a message.
HEAD_LINES = {
    'a name that begins with a blank': b' X-Odd: 1',
    'a name that begins with a tab': b'\tX-Odd: 1',
    'a line of blanks': b' ',
    'a length that begins with a blank': b' Content-Length: 524',
    'chunks that begin with a blank': b' Transfer-Encoding: chunked',
    'a name with a blank': b'X Odd: 1',
    'a name with a tab': b'X\tOdd: 1',
    'a blank before the colon': b'X-Odd : 1',
    'an empty name': b': 1',
    'no colon': b'X-Odd',
    **{
        f'a name with {byte:#04x}': b'X%cOdd: 1' % byte
        for byte in (0x00, 0x01, 0x0B, 0x0C, 0x0D, 0x1F, 0x7F, 0x85)
    },
    **{
        f'a value with {byte:#04x}': b'X-Odd: a%cb' % byte
        for byte in (0x00, 0x01, 0x08, 0x0B, 0x0C, 0x0D, 0x1F, 0x7F)
    },
}
