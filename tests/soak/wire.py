"""A loopback proxy in front of one node's mesh port, and what it can do.

Modes: up, delay, cut (connections hang, new ones too), one_way (answers are
lost), reset (connections are reset).
"""

import asyncio


class Wire:
    def __init__(self, host, port, target_host):
        self.host = host
        self.port = port
        self.target_host = target_host
        self.mode = "up"
        self.delay_s = 0.0
        self.server = None
        self.writers = set()
        self.tasks = set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.host,
                                                 self.port)

    def reset(self):
        for writer in list(self.writers):
            writer.transport.abort()

    async def serve(self, reader, writer):
        task = asyncio.current_task()
        self.tasks.add(task)
        self.writers.add(writer)
        out = None
        try:
            while self.mode == "cut":
                await asyncio.sleep(0.05)
            if self.mode == "reset":
                writer.transport.abort()
                return
            back, out = await asyncio.open_connection(self.target_host,
                                                      self.port)
            self.writers.add(out)
            await asyncio.gather(self.pump(reader, out, False),
                                 self.pump(back, writer, True))
        except (asyncio.CancelledError, ConnectionError, OSError):
            pass
        finally:
            for each in (writer, out):
                if each is not None:
                    self.writers.discard(each)
                    each.transport.abort()
            self.tasks.discard(task)

    async def pump(self, reader, writer, is_answer):
        while True:
            piece = await reader.read(16384)
            while self.mode == "cut" or (self.mode == "one_way" and
                                         is_answer):
                await asyncio.sleep(0.02)
            if self.mode == "delay":
                await asyncio.sleep(self.delay_s)
            if not piece:
                writer.close()
                raise ConnectionResetError
            writer.write(piece)
            await writer.drain()
