"""Runner shared by the single test scenarios with real nodes."""

import asyncio
import random
import sys
import tempfile

from mesh import Mesh


def run_scenario(run):
    """Run a coroutine of (program, directory) that returns whether it passed;
    return the exit status."""
    with tempfile.TemporaryDirectory() as directory:
        passed = asyncio.run(run(sys.argv[1], directory))
    print("1 passed, 0 failed" if passed else "0 passed, 1 failed")
    return 0 if passed else 1


def run_mesh_scenario(play, hosts):
    """Run a coroutine of a started mesh as above."""
    async def run(program, directory):
        mesh = Mesh(program, directory, hosts, random.Random(1))
        try:
            await mesh.start()
            return await play(mesh)
        finally:
            await mesh.stop()

    return run_scenario(run)
