"""Runner shared by the single test scenarios with real nodes."""

import asyncio
import sys
import tempfile


def run_scenario(run):
    """Run a coroutine of (program, directory) that returns whether it passed;
    return the exit status."""
    with tempfile.TemporaryDirectory() as directory:
        passed = asyncio.run(run(sys.argv[1], directory))
    print("1 passed, 0 failed" if passed else "0 passed, 1 failed")
    return 0 if passed else 1
