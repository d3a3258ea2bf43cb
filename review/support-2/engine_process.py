"""An engine as a process of its own: GET answers of a given size.

Arguments: port, id, and the size of an answer in bytes.  An answer has
neither a length nor chunks and ends with its connection.  The body is a
counter, so that a part can be told from the whole.
"""

import asyncio
import sys

import fleet

BLOCK_BYTES = 64 * 1024
# So that an answer is under way for a while, whatever the sockets hold.
BYTES_PER_S = 10 * 1024 * 1024


def make_body(size):
    """Return the whole body: lines with a running number."""
    count = size // 16
    return b''.join(b'%015d\n' % number for number in range(count))


class Engine(fleet.Server):
    """An engine whose answers end with their connection."""

    def __init__(self, name, size):
        super().__init__()
        self.name = name
        self.body = make_body(size)

    async def handle(self, request, reader, writer):
        headers = {'X-Arbutusvale-Attempt-Id': request.attempt_id}
        expected = request.headers.get('x-arbutusvale-expected-instance')
        if expected not in (None, self.name):
            headers['X-Arbutusvale-Instance-Id'] = self.name
            writer.write(fleet.format_answer(421, headers))
            return True
        print(f'{self.name} runs {request.attempt_id}', flush=True)
        headers['X-Arbutusvale-Engine-Signature'] = f'sig-{self.name}'
        headers['Connection'] = 'close'
        writer.write(fleet.format_head(200, headers))
        loop = asyncio.get_running_loop()
        began_at = loop.time()
        for start in range(0, len(self.body), BLOCK_BYTES):
            due_at = began_at + start / BYTES_PER_S
            await asyncio.sleep(max(0.0, due_at - loop.time()))
            writer.write(self.body[start : start + BLOCK_BYTES])
            await writer.drain()
        print(f'{self.name} has written {request.attempt_id}', flush=True)
        return False


async def main():
    port, name, size = int(sys.argv[1]), sys.argv[2], int(sys.argv[3])
    engine = Engine(name, size)
    await engine.open(port)
    print(f'{name} listens', flush=True)
    await asyncio.Event().wait()


if __name__ == '__main__':
    asyncio.run(main())
