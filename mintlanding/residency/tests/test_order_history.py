"""Orders that were given up under another token than the last one."""

from mintlanding.residency.order_history import (
    LATE_ORDER_SECONDS,
    OrderHistory,
)


def test_order_overtakes_one_that_was_given_up_under_another_token():
    history = OrderHistory()
    assert history.begin('w', 11, 100) is None
    history.give_up('w', 100.5)
    assert history.begin('w', 11, 101) is None
    assert history.begin('w', 12, 102) == 1.5
    assert history.token('w') == 12
    found = history.workers['w']
    assert (found.token_changes, found.given_up, found.overtaking) == (1, 1, 1)


def test_order_that_cannot_arrive_any_more_is_not_overtaken():
    history = OrderHistory()
    history.begin('w', 11, 100)
    history.give_up('w', 100)
    assert history.begin('w', 12, 100.1 + LATE_ORDER_SECONDS) is None


def test_worker_without_orders_has_no_token():
    assert OrderHistory().token('w') == 0
