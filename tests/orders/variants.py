"""Reconciler variants that lack a safety mechanism."""

from ibispaddle_core.orders import Reconciler


class SendOnce(Reconciler):
    """Send each order only once."""

    def reconcile(self, state, upstream_id, report, now_ms):
        sent = set(self._sent_ms)
        sends = super().reconcile(state, upstream_id, report, now_ms)
        return tuple(send for send in sends if send.order.order_id not in sent)
