"""Departures of backend servers that VMs tell each other.

A VM that the platform turns away has an old list of servers. The others tell
it which servers have left, so that it neither uses nor grants them.
"""

import attrs


@attrs.frozen(kw_only=True, order=True)
class Position:
    """Position in the platform's history of changes.

    Parameters
    ----------
    era : int
        Rises each time the platform is restored from a copy, after which it
        gives revisions out again; 0 if the platform doesn't tell it.
    revision : int
        Number of a change, within the era; 0 if unknown.
    """

    era: int = 0
    revision: int = 0


@attrs.frozen(kw_only=True)
class Departure:
    """A process of a backend server that has left or says that it leaves.

    Parameters
    ----------
    name : str
        Id of the server on the platform.
    incarnation : int
        Start of the process in Unix milliseconds; 0 if unknown.
    has_drained : bool
        Whether the process said that it leaves; it never becomes ready again.
    era, revision : int
        Position in the platform's history at which it left.
    keep_deadline_ms : int
        When a VM that does not list the server may forget this.
    """

    name: str
    incarnation: int
    has_drained: bool
    era: int
    revision: int
    keep_deadline_ms: int

    @property
    def position(self):
        """The `Position` at which the server left."""
        return Position(era=self.era, revision=self.revision)


class HeardDepartures:
    """Remember the departures that other VMs have told.

    Examples
    --------
    >>> heard = HeardDepartures()
    >>> departure = Departure(name='a', incarnation=1, has_drained=True,
    ...     era=1, revision=5, keep_deadline_ms=10)
    >>> heard.add(departure), heard.add(departure)
    (True, False)
    """

    def __init__(self):
        self._departures = {}

    def add(self, departure):
        """Remember a departure; return whether it is later than the known."""
        known = self._departures.get(departure.name)
        if known is not None:
            if _age_key(departure) <= _age_key(known):
                return False
            if known.incarnation == departure.incarnation:
                departure = attrs.evolve(
                    departure,
                    has_drained=departure.has_drained or known.has_drained,
                )
        self._departures[departure.name] = departure
        return True

    def find(self, name):
        """Return the departure told of a server, or None."""
        return self._departures.get(name)

    def list_all(self):
        """Return all departures that are remembered."""
        return tuple(self._departures.values())

    def expire(self, now_ms, listed):
        """Forget what is no longer needed.

        Parameters
        ----------
        listed : container of str
            Names of the servers that this VM lists. It may not learn from
            the platform that they have left.
        """
        self._departures = {
            name: departure
            for name, departure in self._departures.items()
            if name in listed or now_ms < departure.keep_deadline_ms
        }


def has_left(departure, server, position, *, is_restored=False):
    """Return whether a departure is later than a server's entry.

    Parameters
    ----------
    departure : Departure
        What another VM told.
    server : ListedServer
        The entry that this VM has from the platform.
    position : Position
        Position at which the platform listed that entry.
    is_restored : bool
        Whether the platform was restored a moment ago, so that its entries
        may be older than departures of the era before.
    """
    both_known = server.incarnation > 0 and departure.incarnation > 0
    if both_known and server.incarnation != departure.incarnation:
        return server.incarnation < departure.incarnation
    if both_known and departure.has_drained:
        return True
    if position.era != departure.era:
        return departure.era > position.era or is_restored
    return departure.revision >= position.revision


def _age_key(departure):
    return (departure.incarnation, departure.position)
