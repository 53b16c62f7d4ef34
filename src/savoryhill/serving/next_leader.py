"""The node that is to be followed instead of the present leader."""

import gevent

from savoryhill.errors import NotConnectedError


class NextLeader:
    """Opens the link to the next leader while the present one schedules on.

    Load pattern: nodes that rank first have lost power or their zone, and stay
    registered until their lease ends. They are tried again now and then.

    Parameters
    ----------
    open_link : callable
        ``open_link(address)`` opens a link to a node.
    choice : LeaderChoice
        Told of a node that was not reached.
    """

    def __init__(self, *, open_link, choice):
        self._open_link = open_link
        self._choice = choice
        self._address = None
        self._opening = None
        self._link = None

    def is_ready(self, address):
        """Tell whether a link to the node at an address is open; open one if not."""
        if address != self._address:
            self.discard()
            self._address = address
            self._opening = gevent.spawn(self._open, address)
        return self._link is not None

    def _open(self, address):
        try:
            self._link = self._open_link(address)
        except NotConnectedError as error:
            self._address = None
            self._choice.suspect(address, str(error))

    def take(self, address):
        """Return the open link to the node at an address, or None if there is none."""
        link = None
        if address == self._address:
            link, self._link = self._link, None
        self.discard()
        return link

    def discard(self):
        """Close the link, or stop opening it."""
        if self._opening is not None:
            self._opening.kill(block=False)
        if self._link is not None:
            self._link.close()
        self._address = self._opening = self._link = None
