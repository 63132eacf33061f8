"""Tests of the builders that the other tests share."""

import os
import subprocess
import sys
import unittest

from tests import builders


class LoopbackTest(unittest.TestCase):
    """Guards against test processes that disturb each other."""

    def test_processes_with_similar_ids_use_different_networks(self) -> None:
        """Ids that differ by the number of networks chose the same one."""
        script = (
            "import os\n"
            f"os.getpid = lambda: {os.getpid()}\n"
            "from tests import builders\n"
            "print(builders.LOOPBACK)\n"
        )
        other = subprocess.run(
            [sys.executable, "-c", script],
            check=True,
            capture_output=True,
            text=True,
        ).stdout.strip()
        self.assertTrue(other.startswith("127."))
        self.assertNotEqual(other, builders.LOOPBACK)


if __name__ == "__main__":
    unittest.main()
