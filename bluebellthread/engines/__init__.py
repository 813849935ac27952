"""Adapters for the protocols of model engines, and their registry."""

from bluebellthread.engines import _completions  # noqa: F401  registers itself
from bluebellthread.engines._registry import CacheImported
from bluebellthread.engines._registry import engine_adapters
from bluebellthread.engines._registry import EngineError
from bluebellthread.engines._registry import GenerationParameters
from bluebellthread.engines._registry import PrefillResult

__all__ = [
    'CacheImported',
    'EngineError',
    'GenerationParameters',
    'PrefillResult',
    'engine_adapters',
]
