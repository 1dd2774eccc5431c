"""Relays between instances, which can cut one of them off from the others."""

import asyncio
import contextlib
import socket

import stand_ins

ADDRESS = "127.0.0.1"


def encoded(port):
    """Returns the form that an address has within a message between instances, in CBOR."""
    return b"\x69" + ADDRESS.encode() + b"\x19" + port.to_bytes(2, "big")


class Link:
    """The address at which the others reach one instance, for datagrams and connections."""

    def __init__(self, target, on_datagrams):
        self.target, self.port = target, stand_ins.free_port()
        self.socket = socket.socket(type=socket.SOCK_DGRAM)
        self.socket.bind((ADDRESS, self.port))
        self.socket.setblocking(False)
        asyncio.get_running_loop().add_reader(self.socket, on_datagrams, self)
        self.proxy = stand_ins.Proxy(target)
        self.started = asyncio.get_running_loop().create_task(self.proxy.start(self.port))


class Links:
    """The links of all instances, by the port that each has for itself.

    An instance sees the links of the others in place of their ports: in the store, as the source of datagrams and
    within them. Its own it sees as its port.
    """

    def __init__(self, replaced):
        """replaced: parts of values that the store replaces when an instance writes them."""
        self.links, self.replaced, self.cut_off = {}, replaced, set()

    def add(self, target):
        link = self.links[target] = Link(target, self.pass_on)
        self.replaced[f"{ADDRESS}:{target}".encode()] = f"{ADDRESS}:{link.port}".encode()

    def pass_on(self, link):
        """Passes the datagrams on that have come for an instance, unless it or the sender is cut off."""
        # A report that the receiver of an earlier one has ended counts as no datagram.
        with contextlib.suppress(BlockingIOError, ConnectionRefusedError):
            while True:
                data, (_, port) = link.socket.recvfrom(65536)
                sender = self.links.get(port)
                if sender is None or sender is link or {port, link.target} & self.cut_off:
                    continue
                data = data.replace(encoded(port), encoded(sender.port))
                data = data.replace(encoded(link.port), encoded(link.target))
                sender.socket.sendto(data, (ADDRESS, link.target))

    @contextlib.contextmanager
    def cut(self, target):
        """Cuts an instance off from the others; open connections between them stay."""
        self.cut_off.add(target)
        self.links[target].proxy.mode = "reset"
        try:
            yield
        finally:
            self.cut_off.discard(target)
            self.links[target].proxy.mode = "pass"
