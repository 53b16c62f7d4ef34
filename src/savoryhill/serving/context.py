"""What the requests of a node share."""

from dataclasses import dataclass, field
from random import Random

from savoryhill.core.serving import RepeatBudget
from savoryhill.observability.metrics import observe
from savoryhill.serving.balancing import Balancer
from savoryhill.serving.knowledge import Knowledge


@dataclass(kw_only=True)
class NodeContext:
    """State and services of one node.

    ``log(event, **fields)`` writes a line; ``is_draining()`` tells whether the node
    shuts down.
    """

    settings: object
    clock: object
    random: Random
    knowledge: Knowledge
    dispatcher: object
    balancer: Balancer
    metrics: object
    log: object
    draining_since: float | None = None
    n_running: int = 0
    n_started: int = 0
    budgets_by_service: dict[str, RepeatBudget] = field(default_factory=dict)

    def is_draining(self):
        """Tell whether the node shuts down."""
        return self.draining_since is not None

    def is_ready(self):
        """Tell whether the node takes new connections."""
        return not self.is_draining() and self.knowledge.configuration is not None

    def budget(self, service):
        """Return the budget of repeats of a service."""
        if service not in self.budgets_by_service:
            self.budgets_by_service[service] = RepeatBudget(
                ratio=self.settings.repeat_ratio * 0.8,
                window_s=self.settings.repeat_window_s,
            )
        return self.budgets_by_service[service]

    def try_repeat(self, service, now):
        """Count a repeated send if this node's part of the budget allows it."""
        n_nodes = max(1, len(self.knowledge.nodes_by_name))
        slack = max(1.0, 0.6 * self.settings.repeat_slack / n_nodes)
        return self.budget(service).try_repeat(now, slack=slack)

    def choose_target(self, targets):
        """Choose a service by weight."""
        if len(targets) == 1:
            return targets[0][0]
        names = [name for name, _ in targets]
        weights = [max(weight, 0.0) for _, weight in targets]
        if not any(weights):
            return names[0]
        return self.random.choices(names, weights)[0]

    def observe(self, name, value, route, **labels):
        """Record a value of a request."""
        kind = route.name if route is not None else "none"
        observe(self.metrics, name, value, {"kind": kind, **labels})
