"""Budgets of repeated sends, shared by all nodes.

Each node may use a small share of a service's budget by itself. The leader grants the
other repeats of generations: it receives every job, so all repeats may go to the few
nodes that need them. The shares leave room for two nodes that act as leader at the
same time.
"""

from savoryhill.core.repeats import RepeatBudget

# Shares of the platform's budget: for a plain service, the share of all nodes together;
# for a service with engines, the share of all nodes together and that of each leader.
PLAIN_SHARE = 0.7
LOCAL_SHARE = 0.2
LEADER_SHARE = 0.35


class RepeatBudgets:
    """Budgets of repeated sends by service.

    Parameters
    ----------
    settings : callable
        Returns the settings in force.
    n_nodes : callable
        Returns the number of nodes that divide a share among themselves.
    """

    def __init__(self, *, settings, n_nodes):
        self._settings = settings
        self._n_nodes = n_nodes
        self._local_by_service = {}
        self._scheduled_by_service = {}

    def note_request(self, service, now):
        """Count a request of a client of this node."""
        self._budget(self._local_by_service, service.name).note_request(now)

    def try_local_repeat(self, service, now):
        """Count a repeated send if this node's share allows it."""
        share = PLAIN_SHARE if service.engine is None else LOCAL_SHARE
        budget = self._budget(self._local_by_service, service.name)
        return self._try_repeat(
            budget, now, share=share, n_parts=max(1, self._n_nodes())
        )

    def give_back_local(self, service):
        """Give back a repeated send that was counted here and not sent."""
        self._budget(self._local_by_service, service.name).give_back()

    def note_job(self, service_name, now):
        """Count the first job of a request, as the leader."""
        self._budget(self._scheduled_by_service, service_name).note_request(now)

    def try_scheduled_repeat(self, service_name, now):
        """Count a repeated send if the leader's share allows it."""
        budget = self._budget(self._scheduled_by_service, service_name)
        return self._try_repeat(budget, now, share=LEADER_SHARE, n_parts=1)

    def give_back_scheduled(self, service_name):
        """Give back a repeated send that the leader counted and that was not sent."""
        self._budget(self._scheduled_by_service, service_name).give_back()

    def _budget(self, budgets, service_name):
        if service_name not in budgets:
            window_s = self._settings().repeat_window_s
            budgets[service_name] = RepeatBudget(window_s=window_s)
        return budgets[service_name]

    def _try_repeat(self, budget, now, *, share, n_parts):
        settings = self._settings()
        slack = max(1.0, share * settings.repeat_slack / n_parts)
        return budget.try_repeat(now, ratio=share * settings.repeat_ratio, slack=slack)
