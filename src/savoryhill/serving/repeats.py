"""Budget of repeated sends, which all nodes share.

A node grants a small part by itself. The rest of the repeats of generations is granted
by the scheduling node, which hears of every job, so that the repeats may all come from
the few nodes that need them. The parts leave room for two nodes that schedule at once.
"""

from savoryhill.core.serving import RepeatBudget

# Shares of the platform's budget: of a plain service for all nodes together, and of a
# service of engines for all nodes together and for each node that schedules.
PLAIN_SHARE = 0.7
OWN_SHARE = 0.2
SCHEDULED_SHARE = 0.35


class RepeatBudgets:
    """Repeated sends by service.

    Parameters
    ----------
    settings : callable
        Returns the settings in force.
    n_nodes : callable
        Returns the number of nodes among which a share is divided.
    """

    def __init__(self, *, settings, n_nodes):
        self._settings = settings
        self._n_nodes = n_nodes
        self._own_by_service = {}
        self._scheduled_by_service = {}

    def note_request(self, service, now):
        """Count a request of a client of this node."""
        self._budget(self._own_by_service, service.name).note_request(now)

    def try_local_repeat(self, service, now):
        """Count a repeated send if this node's own part allows it."""
        share = PLAIN_SHARE if service.engine is None else OWN_SHARE
        budget = self._budget(self._own_by_service, service.name)
        return self._try(budget, now, share=share, n_parts=max(1, self._n_nodes()))

    def note_job(self, service_name, now):
        """Count the first job of a request, as the scheduling node."""
        self._budget(self._scheduled_by_service, service_name).note_request(now)

    def try_scheduled_repeat(self, service_name, now):
        """Count a repeated send if the scheduling node's part allows it."""
        budget = self._budget(self._scheduled_by_service, service_name)
        return self._try(budget, now, share=SCHEDULED_SHARE, n_parts=1)

    def _budget(self, budgets, service_name):
        if service_name not in budgets:
            window_s = self._settings().repeat_window_s
            budgets[service_name] = RepeatBudget(window_s=window_s)
        return budgets[service_name]

    def _try(self, budget, now, *, share, n_parts):
        settings = self._settings()
        slack = max(1.0, share * settings.repeat_slack / n_parts)
        return budget.try_repeat(now, ratio=share * settings.repeat_ratio, slack=slack)
