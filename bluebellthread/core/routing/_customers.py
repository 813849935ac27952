"""Customers: who may send requests, how urgently and how many."""

import hashlib
import secrets

import attrs

COST_MAX = 2**31
"""Most units that one request counts for: more than any engine's memory, and
few enough that running totals fit into 64 bits."""

CAPACITY_S = 1.0
"""Time whose rate may be used at once although the burst is smaller: requests
are whole, and VMs report what they admit only a few times a second."""

DIGEST_BYTES = 16
"""Length of the digests of keys; random keys don't collide at this length."""


@attrs.frozen(kw_only=True)
class CustomerLimit:
    """Rate limit of one customer over all VMs.

    Parameters
    ----------
    rate_per_s : float
        Units that the customer may use per second.
    burst : float
        Units that it may use beyond the rate at once.
    counts_tokens : bool
        Whether units are tokens of prompts and answers; else requests.
    plain_cost : int
        Units of a request that names no tokens, if tokens are counted.
    """

    rate_per_s: float
    burst: float
    counts_tokens: bool = False
    plain_cost: int = 1

    @property
    def capacity(self):
        """Units that may be used at once."""
        return max(self.burst, CAPACITY_S * self.rate_per_s, 1.0)

    def find_cost(self, token_counts):
        """Return the units of a request.

        Parameters
        ----------
        token_counts : tuple of int or None
            Prompt tokens and maximum output tokens; None if the request
            names none.

        Examples
        --------
        >>> limit = CustomerLimit(
        ...     rate_per_s=1, burst=1, counts_tokens=True, plain_cost=200)
        >>> limit.find_cost((1460, 80)), limit.find_cost(None)
        (1540, 200)
        """
        if not self.counts_tokens:
            return 1
        if token_counts is None:
            return self.plain_cost
        return min(sum(token_counts), COST_MAX)


@attrs.frozen(kw_only=True)
class Customer:
    """A customer by the configuration in force.

    Parameters
    ----------
    name : str
        Name by which backend servers know the customer.
    priority : int or None
        Priority of its requests, 0 the most urgent; None for that of the
        route.
    limit : CustomerLimit or None
        What it may use; None for no limit.
    """

    name: str
    priority: int | None = None
    limit: CustomerLimit | None = None


class Customers:
    """Finds the customer that holds a key.

    Only digests of the keys are kept. They are made with a secret of this
    process, so the time of a lookup tells nothing about a key.

    Parameters
    ----------
    by_key : iterable of (str, Customer)
        The keys, and who holds them.

    Examples
    --------
    >>> customers = Customers([('k1', Customer(name='a'))])
    >>> customers.find('k1').name, customers.find('k2') is None
    ('a', True)
    """

    def __init__(self, by_key):
        self._secret = secrets.token_bytes(DIGEST_BYTES)
        self._by_digest = {
            self._digest(key): customer for key, customer in by_key
        }
        self._by_name = {
            customer.name: customer for customer in self._by_digest.values()
        }

    @property
    def key_count(self):
        """Number of keys."""
        return len(self._by_digest)

    @property
    def names(self):
        """Names of the customers that hold a key."""
        return self._by_name.keys()

    def find(self, key):
        """Return the customer that holds a key, or None."""
        digest = self._digest(key)
        return self._by_digest.get(digest)

    def find_named(self, name):
        """Return the customer with a name, or None."""
        return self._by_name.get(name)

    @property
    def priorities(self):
        """The priorities that customers have; None stands for the route's."""
        return {customer.priority for customer in self._by_digest.values()}

    def _digest(self, key):
        return hashlib.blake2b(
            key.encode('utf-8', 'surrogateescape'),
            digest_size=DIGEST_BYTES,
            key=self._secret,
        ).digest()
