"""A plain worker as a process of its own, whose answers have no length.

`python3 worker_process.py NAME PORT`: an answer is written as it is made, in
two parts, and ends with its connection.
"""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from standins.http import Response, Server, head_bytes  # noqa: E402

PART_SECONDS = 0.25
LINES = 20


def whole_body(request):
    """Return the body of the answer to a request."""
    return b''.join(b'%b line %d\n' % (request, n) for n in range(LINES))


async def main(name, port):
    async def handle(req):
        request = req.header('x-request-id').encode()
        if req.header('x-expect-instance') not in {'', name}:
            return Response(421, {'X-Instance-Id': name})
        # Log of what ran, for the record of the case.
        print(request.decode(), flush=True)
        body = whole_body(request)
        req.writer.write(
            head_bytes(
                200,
                {
                    'X-Request-Id': request.decode(),
                    'X-Response-Stamp': f's-{request.decode()}',
                    'X-Instance-Id': name,
                    'Content-Type': 'text/plain',
                    'Connection': 'close',
                },
            )
        )
        req.writer.write(body[: len(body) // 2])
        await req.writer.drain()
        await asyncio.sleep(PART_SECONDS)
        req.writer.write(body[len(body) // 2 :])
        await req.writer.drain()
        req.writer.close()
        return None

    await Server(handle, '127.0.0.1', port).start()
    await asyncio.Event().wait()


if __name__ == '__main__':
    asyncio.run(main(sys.argv[1], int(sys.argv[2])))
