"""The ports that the VMs of a soak test listen on."""

import contextlib
import socket
import unittest
from unittest import mock

from tests.soak import _site

HOSTS = ('127.0.0.1', '127.0.0.2', '127.0.0.3')


def listen(stack, host, port, kind=socket.SOCK_STREAM):
    sock = stack.enter_context(socket.socket(type=kind))
    sock.bind((host, port))


def read_outgoing_ports():
    """Return the first port that the kernel gives to outgoing connections."""
    path = '/proc/sys/net/ipv4/ip_local_port_range'
    with open(path, encoding='ascii') as file:
        return int(file.read().split()[0])


class TestPorts(unittest.TestCase):
    # Guards against a VM that ends at each of its starts, since a link of an
    # earlier soak holds a port at its address but not at the first VM's.
    def test_port_that_is_held_at_any_address_is_not_taken(self):
        first = _site.find_free_ports(HOSTS, 8)[0]
        with contextlib.ExitStack() as stack:
            listen(stack, HOSTS[1], first)
            listen(stack, HOSTS[2], first + 1, socket.SOCK_DGRAM)
            with mock.patch.object(
                _site, 'FIXED_PORTS', range(first, first + 8)
            ):
                ports = _site.find_free_ports(HOSTS, 4)
        self.assertGreater(ports[0], first + 1)
        self.assertEqual(list(range(ports[0], ports[0] + 4)), list(ports))

    # Guards against a link that gets the port of a VM that is just starting.
    def test_no_port_is_one_that_outgoing_connections_get(self):
        self.assertLess(_site.FIXED_PORTS[-1], read_outgoing_ports())
