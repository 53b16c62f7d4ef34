"""Stand-in for a model engine with continuous batching."""

from savoryhill.standins.engine.application import apply_fault, engine_application
from savoryhill.standins.engine.batching import (
    answer_text,
    restart,
    run_engine,
    token_text,
)
from savoryhill.standins.engine.state import EngineState, memory_used

__all__ = [
    "EngineState",
    "answer_text",
    "apply_fault",
    "engine_application",
    "memory_used",
    "restart",
    "run_engine",
    "token_text",
]
