"""Small stand-ins for what surrounds the router, for tests and the demo.

``python -m standin --file FILE`` hosts any number of them in one process.
"""

from standin._text import expected_answer
from standin._text import prefix_hashes

__all__ = ['expected_answer', 'prefix_hashes']
