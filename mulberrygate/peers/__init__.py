"""Peer protocol: messages between the processes of the system."""

from mulberrygate.peers.client import PeerClient, Unreachable
from mulberrygate.peers.server import PeerServer

__all__ = ["PeerClient", "PeerServer", "Unreachable"]
