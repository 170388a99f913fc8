"""Test of the seeds that the voter of a running control process knows."""

import tempfile
import unittest
from unittest import mock

from mulberrygate.agreement.messages import JoinRequest
from mulberrygate.core.effects import Send
from mulberrygate.daemon.controller import Controller
from mulberrygate.platform.settings import Bounds, Site

SEEDS = ("127.0.1.2", "127.0.1.3")
LATER_SEEDS = ("127.0.1.4", "127.0.1.5")
# Longer than a voter waits for a leader before it asks to join.
SILENCE_S = 10.0


class TestChangedSeeds(unittest.IsolatedAsyncioTestCase):
    """Control process with an empty disk, whose settings change before it has joined."""

    async def asyncSetUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        site = mock.create_autospec(Site, instance=True)
        site.instance, site.seeds, site.data_folder = "127.0.1.1", SEEDS, folder.name
        site.is_first_start, site.voters, site.bounds = False, 5, Bounds()
        site.address_of = lambda name: f"{name}:7600"
        site.peer_address = "127.0.1.1:7600"
        self.controller = Controller(site, mock.Mock(), mock.Mock())
        await self.controller._open_voter()
        self.addAsyncCleanup(self.controller.timers.close)
        self.addAsyncCleanup(self.controller.log.service.close)

    def asked(self):
        """Return the instances that the voter asks to join after a silence."""
        node, now = self.controller.log.service.node, self.controller.timers.now()
        node.tick(now)
        effects = node.tick(now + SILENCE_S)
        sends = [effect for effect in effects if isinstance(effect, Send)]
        return {send.to for send in sends if isinstance(send.message, JoinRequest)}

    async def test_voter_asks_its_first_seeds(self):
        """Guards against a test that finds no join requests at all."""
        self.assertEqual(self.asked(), set(SEEDS))

    async def test_voter_asks_changed_seeds_to_join(self):
        """Guards against an emptied disk that only asks instances that no longer exist."""
        self.controller.set_seeds(LATER_SEEDS)
        self.assertLessEqual(set(LATER_SEEDS), self.asked())


if __name__ == "__main__":
    unittest.main()
