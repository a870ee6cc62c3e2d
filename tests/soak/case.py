"""What the single cases with real nodes have in common."""

import asyncio
import sys
import tempfile


def play(run):
    """Run a coroutine of (program, directory) that returns whether it passed;
    the exit status."""
    with tempfile.TemporaryDirectory() as directory:
        passed = asyncio.run(run(sys.argv[1], directory))
    print("1 passed, 0 failed" if passed else "0 passed, 1 failed")
    return 0 if passed else 1
