"""Fleet size of the design target (section 1.7 of the design page), and of today."""

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True, slots=True)
class Target:
    """Fleet size, load and failure rates, and limits.

    ``core_share``, ``memory_bytes`` and ``control_bytes_per_s`` are limits per node;
    the rates of calls to the key-value service are limits for the whole fleet.
    """

    n_nodes: int = 340
    n_engines: int = 600
    n_workspaces: int = 590
    n_models: int = 21
    n_regions: int = 2
    n_zones: int = 7
    requests_per_s: float = 6_400.0
    tokens_per_s: float = 2_400_000.0
    configuration_changes_per_day: int = 2_600
    configuration_limit_s: float = 8.0
    host_failures_per_day: int = 13
    restarts_per_day: int = 59
    group_size: int = 8
    core_share: float = 0.019
    memory_bytes: int = 128_000_000
    control_bytes_per_s: float = 20_000.0
    key_value_writes_per_s: float = 300.0
    key_value_reads_per_s: float = 2_000.0

    @property
    def n_groups(self):
        """Number of endpoint groups."""
        return self.n_engines // self.group_size


TARGET = Target()
TODAY = Target(
    n_nodes=9, n_engines=20, n_workspaces=10, n_models=1, n_regions=1, n_zones=3
)
