"""A router for language models served by separate prefill and decode pools.

Examples
--------
>>> import bluebellthread
>>> bluebellthread.__version__
'0.1.0'
"""

__version__ = '0.1.0'

__all__ = ['__version__']
