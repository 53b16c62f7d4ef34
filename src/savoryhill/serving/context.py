"""What the requests of a node share."""

from dataclasses import dataclass
from random import Random

from savoryhill.observability.metrics import observe
from savoryhill.serving.balancing import Balancer
from savoryhill.serving.knowledge import Knowledge
from savoryhill.serving.repeats import Repeats


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
    repeats: Repeats
    metrics: object
    log: object
    draining_since: float | None = None
    n_running: int = 0
    n_started: int = 0

    def is_draining(self):
        """Tell whether the node shuts down."""
        return self.draining_since is not None

    def is_ready(self):
        """Tell whether the node takes new connections."""
        return not self.is_draining() and self.knowledge.configuration is not None

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
