"""Engines that read prompts in the order in which the platform's engines do."""

from dataclasses import dataclass, field

from savoryhill.core.scheduling.engine_profile import EngineProfile

# Figures of the engines of the two small deployments.
PROFILE = EngineProfile(
    slots=16,
    memory_tokens=405_000,
    stride=34,
    step_s=0.00131,
    step_s_per_sequence=0.917e-6,
    step_s_per_context_token=0.00213e-6,
    prefill_tokens_per_s=154_000.0,
    prefill_s_per_token_pair=0.162e-9,
    chunk_tokens=2048,
)


@dataclass(kw_only=True, slots=True)
class _Read:
    run: str
    left_s: float
    is_part: bool


@dataclass(kw_only=True)
class ReadingEngine:
    """One engine, which reads one prompt, or part of one, after the other.

    A part of a prompt that several engines read comes before all other reading, and
    before the parts that arrived earlier; see docs/platform.md. ``slowness`` is how
    many times longer than predicted it reads.
    """

    id: str
    slowness: float = 1.0
    reads: list[_Read] = field(default_factory=list)

    def add(self, run, seconds, *, is_part):
        """Add what is to be read of the prompt of a run."""
        self.reads.append(_Read(run=run, left_s=seconds, is_part=is_part))

    def drop(self, run):
        """Remove the reading of a run that was given up."""
        self.reads = [read for read in self.reads if read.run != run]

    def _next_read(self):
        parts = [read for read in self.reads if read.is_part]
        return parts[-1] if parts else self.reads[0]

    def next_end_s(self):
        """Return the seconds until the current reading ends; infinite if idle."""
        return self._next_read().left_s * self.slowness if self.reads else float("inf")

    def advance(self, seconds):
        """Read for some seconds, at most `next_end_s`; return the run that ended."""
        if not self.reads:
            return None
        read = self._next_read()
        read.left_s -= seconds / self.slowness
        if read.left_s > 1e-9:
            return None
        self.reads.remove(read)
        return read.run
