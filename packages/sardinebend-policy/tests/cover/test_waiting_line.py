"""The line of a host's waiting requests, under the loads that it answers."""

from sardinebend_policy import fair_queue
from sardinebend_policy import waiting_line

Outcome = waiting_line.Outcome
WAIT_S = 0.06


class Room:
    """Room for a number of tokens, in which nothing ends."""

    def __init__(self, tokens):
        self.free = tokens
        self.sizes = {}
        self.tried = []

    def try_path(self, request_id):
        self.tried.append(request_id)
        if self.sizes[request_id] > self.free:
            return Outcome.NO_ROOM
        self.free -= self.sizes[request_id]
        return Outcome.FOUND


def join(line, room, request_id, customer='a', rank=0, tokens=1000, now=0.0):
    entry = fair_queue.Entry(request_id, customer, rank, tokens)
    room.sizes[request_id] = tokens
    line.join(entry, tokens, WAIT_S, now)


def serve_all(line, room, now=0.0):
    served = []
    while found := line.serve(now, room.try_path):
        served += found
    return served


# Guards against urgent drafts that find no room since batch drafts that came
# before them poll for it too.
def test_urgent_requests_pass_a_burst_of_batch_drafts():
    line, room = waiting_line.WaitingLine(), Room(5000)
    for n in range(40):
        join(line, room, f'batch-{n}', rank=2)
    for n in range(3):
        join(line, room, f'urgent-{n}', rank=0)
    served = serve_all(line, room)
    assert served == ['urgent-0', 'urgent-1', 'urgent-2', 'batch-0', 'batch-1']


def test_a_customer_with_ten_times_its_share_costs_the_others_nothing():
    line, room = waiting_line.WaitingLine(), Room(20_000)
    for n in range(100):
        join(line, room, f'heavy-{n}', 'heavy')
        if n % 10 == 0:
            join(line, room, f'light-{n}', 'light')
    served = serve_all(line, room)
    assert sum(name.startswith('light') for name in served) == 10


def test_a_long_prompt_counts_for_what_it_costs():
    line, room = waiting_line.WaitingLine(), Room(8000)
    for n in range(8):
        join(line, room, f'long-{n}', 'long', tokens=2000)
        join(line, room, f'short-{n}', 'short', tokens=500)
    served = serve_all(line, room)
    assert sum(name.startswith('short') for name in served) == 8


def test_a_customer_alone_uses_all_the_room_by_age():
    line, room = waiting_line.WaitingLine(), Room(9000)
    names = [f'r{n}' for n in range(12)]
    for name in names:
        join(line, room, name)
    assert serve_all(line, room) == names[:9]


def test_small_requests_pass_a_large_one_only_for_half_of_its_wait():
    line, room = waiting_line.WaitingLine(), Room(1500)
    join(line, room, 'large', tokens=2000)
    for n in range(4):
        join(line, room, f'small-{n}', 'b', tokens=500)
    assert line.serve(0.0, room.try_path) == ['small-0', 'small-1', 'small-2']
    room.free = 1500
    assert line.serve(WAIT_S * 0.6, room.try_path) == []
    room.free = 2000
    assert line.serve(WAIT_S * 0.6, room.try_path) == ['large']


def test_what_found_no_room_spares_those_as_large_behind_it_a_search():
    line, room = waiting_line.WaitingLine(), Room(0)
    for n in range(100):
        join(line, room, f'r{n}')
    assert line.serve(0.0, room.try_path) == []
    assert room.tried == ['r0']


def test_a_begun_stream_goes_first_and_others_pass_its_bar():
    line, room = waiting_line.WaitingLine(), Room(9000)
    join(line, room, 'urgent')
    join(line, room, 'begun', rank=waiting_line.BEGUN)
    assert line.is_first('begun') and line.count_ahead('urgent') == 1
    barred = {'begun': Outcome.BARRED}

    def try_path(request_id):
        return barred.get(request_id) or room.try_path(request_id)

    assert line.serve(0.0, try_path) == ['urgent']


def test_nothing_less_urgent_takes_room_that_one_leaves_to_others():
    line, room = waiting_line.WaitingLine(), Room(9000)
    join(line, room, 'held', rank=1)
    join(line, room, 'batch', rank=2, tokens=10)
    assert line.serve(0.0, lambda _: Outcome.HELD) == []
    line.leave('held')
    line.leave('held')
    assert len(line) == 1 and line.is_first('batch')
