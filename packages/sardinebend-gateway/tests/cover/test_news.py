"""What hosts tell each other for a while."""

from sardinebend_gateway import news as news_lib


def test_an_item_is_new_once():
    news = news_lib.News()
    assert news.add('a', 0.0)
    assert not news.add('a', 1.0)
    assert news.add('b', 1.0)
    assert news.recent(1.0) == ['a', 'b']


def test_an_item_is_told_for_a_while_and_never_echoes():
    one, other = news_lib.News(), news_lib.News()
    one.add('a', 0.0)
    now = 0.0
    while now < 5 * news_lib.TOLD_S:
        now += 0.5
        for sender, receiver in ((one, other), (other, one)):
            for told in sender.recent(now):
                receiver.add(told, now)
            sender.forget_old(now)
    assert one.recent(now) == other.recent(now) == []


def test_what_fits_into_a_datagram_are_the_newest_items():
    news = news_lib.News()
    for number in range(40):
        news.add(number, number / 100)
    told = news.recent(1.0)
    assert len(told) == news_lib.MAX_TOLD
    assert told[-1] == 39
    news.forget_old(100.0)
    assert news.add(39, 100.0)
