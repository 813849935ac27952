"""Small stand-ins for the systems around the router.

They replace engines, plain services, the platform and the network in tests
and in the demo. ``python -m standin --file FILE`` runs any number of them in
one process.
"""

from standin._text import expected_answer
from standin._text import prefix_hashes

__all__ = ['expected_answer', 'prefix_hashes']
