"""Adapters for the protocols of model engines, and their registry."""

from bluebellthread.engines import _completions  # noqa: F401  registers itself
from bluebellthread.engines._registry import engine_adapters
from bluebellthread.engines._registry import EngineError
from bluebellthread.engines._registry import Generation
from bluebellthread.engines._registry import Imported
from bluebellthread.engines._registry import Prefilled

__all__ = [
    'EngineError',
    'Generation',
    'Imported',
    'Prefilled',
    'engine_adapters',
]
