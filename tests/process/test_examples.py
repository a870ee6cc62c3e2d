"""The example settings files pass trefoilhilld --check."""

import pathlib
import subprocess
import unittest

from mesh_test_case import BUILD_DIR, ROOT


class Examples(unittest.TestCase):
    def test_settings_check(self):
        daemon = pathlib.Path(BUILD_DIR) / "trefoilhilld" / "trefoilhilld"
        files = sorted((ROOT / "examples").glob("*.ini"))
        self.assertEqual(len(files), 2)
        for file in files:
            done = subprocess.run(
                [daemon, "--config", file, "--check"],
                capture_output=True, text=True, check=False)
            self.assertEqual(done.returncode, 0, done.stderr)


if __name__ == "__main__":
    unittest.main()
