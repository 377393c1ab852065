"""Gossip: items that hosts send to each other for a limited time."""

from sardinebend_gateway import gossip as gossip_lib


def test_only_the_first_addition_of_an_item_counts_as_new():
    gossip = gossip_lib.GossipItems()
    assert gossip.add('a', 0.0)
    assert not gossip.add('a', 1.0)
    assert gossip.add('b', 1.0)
    assert gossip.recent(1.0) == ['a', 'b']


def test_two_hosts_stop_sending_an_item_to_each_other_after_the_send_time():
    one, other = gossip_lib.GossipItems(), gossip_lib.GossipItems()
    one.add('a', 0.0)
    now = 0.0
    while now < 5 * gossip_lib.SEND_FOR_S:
        now += 0.5
        for sender, receiver in ((one, other), (other, one)):
            for sent in sender.recent(now):
                receiver.add(sent, now)
            sender.drop_expired(now)
    assert one.recent(now) == other.recent(now) == []


def test_only_the_newest_items_are_sent_when_there_are_too_many():
    gossip = gossip_lib.GossipItems()
    for number in range(40):
        gossip.add(number, number / 100)
    sent = gossip.recent(1.0)
    assert len(sent) == gossip_lib.MAX_SENT
    assert sent[-1] == 39
    gossip.drop_expired(100.0)
    assert gossip.add(39, 100.0)
