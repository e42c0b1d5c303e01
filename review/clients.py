"""Clients that keep connections open for many requests."""

import asyncio
import random
import time

from harness import Answer, encode, read_message


class Clients:
    """Sends requests to gateways over kept connections, as the platform forwards them.

    :param fronts: the gateways' addresses.
    """

    def __init__(self, record, fronts, *, seed=1):
        self.record = record
        self.fronts = fronts
        self.answers = {}  # request id: status, or what else became of it
        self.sent_at = {}
        self._rng = random.Random(seed)
        self._idle = []
        self._number = 0

    async def send(self, method, path, *, key=None, ms=1_000, body=b""):
        """Send one request, and record its answer."""
        self._number += 1
        name = f"{self._rng.getrandbits(40):010x}{self._number:06x}"
        headers = {"host": "desk.example", "x-request-id": name, "x-deadline-ms": str(ms)}
        if key is not None:
            headers["x-shard-key"] = str(key)
        if self._idle:
            reader, writer = self._idle.pop()
        else:
            reader, writer = await asyncio.open_connection(*self._rng.choice(self.fronts))
        self.sent_at[name] = time.monotonic()
        try:
            async with asyncio.timeout(ms / 1_000):
                writer.write(encode(f"{method} {path} HTTP/1.1", headers, body))
                message = await read_message(reader)
                if message is None:
                    raise ConnectionError("closed")
                first, got, content = message
        except (TimeoutError, ConnectionError, asyncio.IncompleteReadError) as exc:
            writer.close()
            self.answers[name] = type(exc).__name__
            return None
        answer = Answer(int(first.split()[1]), got, content)
        self.answers[name] = answer.status
        if got.get("x-request-id") != name:
            self.record(f"client: the answer to {name} names {got.get('x-request-id')}")
        if answer.status != 200:
            self.record(f"client: {name} got {answer.status} {content.decode('latin-1').strip()}")
        if got.get("connection", "").lower() == "close":
            writer.close()
        else:
            self._idle.append((reader, writer))
        return answer

    async def pipeline(self, path, *, depth, until, ms=1_000):
        """Send several requests at once on a kept connection, read their answers, and go on.

        Each request's answer is recorded as its status, as "cut" if the connection ended inside
        it, and as "none" if it ended before. Ends with the connection.

        :param until: monotonic time after which no more are sent.
        """
        reader, writer = await asyncio.open_connection(*self._rng.choice(self.fronts))
        while time.monotonic() < until:
            names, sent = [], b""
            for _ in range(depth):
                self._number += 1
                name = f"{self._rng.getrandbits(40):010x}{self._number:06x}"
                headers = {"host": "desk.example", "x-request-id": name, "x-deadline-ms": str(ms)}
                sent += encode(f"GET {path} HTTP/1.1", headers)
                names.append(name)
            writer.write(sent)
            waiting = list(names)
            try:
                async with asyncio.timeout(ms / 1_000):
                    while waiting:
                        message = await read_message(reader)
                        if message is None:
                            raise ConnectionError("closed")
                        self.answers[waiting.pop(0)] = int(message[0].split()[1])
            except TimeoutError:
                self.answers |= dict.fromkeys(waiting, "late")
                break
            except (ConnectionError, asyncio.IncompleteReadError) as exc:
                self.record(f"client: its connection ended with {waiting} unanswered, of {names}")
                if isinstance(exc, asyncio.IncompleteReadError):
                    self.answers[waiting.pop(0)] = "cut"
                self.answers |= dict.fromkeys(waiting, "none")
                break
        writer.close()

    async def load(self, per_s, for_s, **request):
        """Send requests at a rate, with random keys; return once all have their answers."""
        tasks, began = set(), time.monotonic()
        while (left_s := began + for_s - time.monotonic()) > 0:
            task = asyncio.ensure_future(self.send(key=self._rng.randrange(65_536), **request))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
            await asyncio.sleep(min(left_s, self._rng.expovariate(per_s)))
        await asyncio.gather(*tasks)

    def close(self):
        for _, writer in self._idle:
            writer.close()
