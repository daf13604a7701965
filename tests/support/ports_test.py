"""Ports for programs that a test process starts."""

import unittest

from ports import BLOCK, free_port


class Ports(unittest.TestCase):
    def test_a_process_gets_more_ports_than_a_block_has(self):
        """Guards against a soak of many seeds that ends because its ports are used up."""
        ports = [free_port() for _ in range(2 * BLOCK + 1)]
        self.assertEqual(len(set(ports)), len(ports))


if __name__ == "__main__":
    unittest.main()
