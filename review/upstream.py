"""An upstream of the pages: checks in, holds keys that calls grant it, and runs requests."""

import asyncio
import json
import random
import time

from harness import ask, encode, read_message


CUT_AFTER = 1_000
"""Size of an answer that is worth breaking off, in bytes."""


class Hold:
    """Keys that a life holds, from the arrival of a grant."""

    def __init__(self, low, high, fence, began, until):
        self.low, self.high, self.fence = low, high, fence
        self.began, self.until = began, until


class Life:
    """What one lifetime of an upstream has taken, for the check at the end."""

    def __init__(self, upstream, born):
        self.name = f"{upstream.id}/{born}"
        self.began = time.monotonic()
        self.ended = None
        self.takes = []  # (time, low, high, fence)
        self.spans = []  # (low, high, from, until)


class Upstream:
    """An upstream with an id and an address; each start is a new lifetime.

    It grants nothing to itself: it holds keys from the arrival of a call, for `HoldS`.
    """

    def __init__(self, world, machines, id, service, *, slots=4, work_s=0.03, zone="a", sharded=True):
        self.world, self.record = world, world.record
        self.machines = machines
        self.id, self.service, self.slots, self.work_s = id, service, slots, work_s
        self.zone, self.sharded = zone, sharded
        self.port = None
        self.lives = []
        self.runs = []  # (time, life, request id)
        self.state = "ready"
        self.shed_share = self.garble_share = self.cut_share = 0.0
        self.answer_bytes = 0
        self._draw = lambda share, rng=random.Random(id): rng.random() < share
        self._server = None
        self._tasks = set()
        self._writers = set()

    @property
    def address(self):
        return f"{self.ip}:{self.port}"

    async def start(self, ip, port):
        """Start a new lifetime at an address."""
        self.ip, self.port = ip, port
        self.born = int(time.time() * 1000)
        self.life = Life(self, self.born)
        self.lives.append(self.life)
        self.holds, self.seen = [], []
        self.sequence, self.url = 0, None
        self.acked = 0
        self._server = await asyncio.start_server(self._serve, ip, port)
        self.record(f"{self.life.name} starts at {self.address}")
        self._beating = asyncio.ensure_future(self._beat())

    async def crash(self):
        """End at once."""
        self.record(f"{self.life.name} crashes")
        self._end_spans(0, 65535)
        self.life.ended = time.monotonic()
        self._beating.cancel()
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()
        for task in list(self._tasks):
            task.cancel()

    # Check-ins.

    async def _beat(self):
        while True:
            began = time.monotonic()
            await self.check_in()
            left = self.world.heartbeat_s - (time.monotonic() - began)
            await asyncio.sleep(max(0.0, left))

    async def check_in(self):
        """Check in, at another daemon each time until one acknowledges within a second."""
        pause_s = 0.1
        daemons = random.sample(self.machines, len(self.machines))
        for turn in range(6):
            self.sequence += 1
            body = {
                "Service": self.service,
                "Address": self.address,
                "Zone": self.zone,
                "Version": "v1",
                "Slots": self.slots,
                "State": self.state,
                "ColdRemainingS": 0,
                "Sequence": self.sequence,
                "born": self.born,
            }
            address, self.url = self.url, None
            if address is None:
                address = daemons[turn % len(daemons)].control
            answer = await self._post(address, f"/-/instances/{self.id}/heartbeat", body)
            status = answer.status if answer else "no answer"
            if turn or status != 200 or not self.acked:
                self.record(f"{self.life.name} check-in {self.sequence} to {address[0]}: {status}")
            if answer is not None and answer.status == 200:
                self.acked = self.sequence
                url = answer.json.get("HeartbeatUrl", "")
                host, _, port = url.partition("://")[2].partition("/")[0].partition(":")
                self.url = (host, int(port)) if port else None
                return
            await asyncio.sleep(pause_s)
            pause_s *= 1.5

    async def _post(self, address, path, body):
        headers = {"content-type": "application/json"}
        try:
            async with asyncio.timeout(1.0):
                for _ in range(3):
                    answer = await ask(
                        address, "POST", path, headers=headers, body=json.dumps(body).encode()
                    )
                    if answer.status != 307:
                        return answer
                    host, _, port = answer.headers["location"].split("/")[2].partition(":")
                    address = (host, int(port))
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return None
        return None

    # Calls and requests.

    async def _serve(self, reader, writer):
        task = asyncio.current_task()
        self._tasks.add(task)
        self._writers.add(writer)
        late = b""
        try:
            while (message := await read_message(reader)) is not None:
                first, headers, body = message
                if late:
                    # An extra response, at the point where the next one is expected.
                    writer.write(late)
                    late = b""
                answer = await self._answer(first.split()[1], headers, body)
                if self.cut_share and len(answer) > CUT_AFTER and self._draw(self.cut_share):
                    self.record(f"{self.life.name} breaks off its answer to {headers['x-request-id']}")
                    writer.write(answer[: len(answer) * 9 // 10])
                    await writer.drain()
                    return
                writer.write(answer)
                await writer.drain()
                if "x-request-id" in headers and self.garble_share and self._draw(self.garble_share):
                    late = answer
                    self.record(f"{self.life.name} will repeat its answer to {headers['x-request-id']}")
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self._tasks.discard(task)
            self._writers.discard(writer)
            writer.close()

    async def _answer(self, path, headers, body):
        if headers.get("x-target-instance", self.id) != self.id:
            return encode("HTTP/1.1 421 Misdirected", self._rejected(headers))
        if path == "/-/grant":
            return self._grant(json.loads(body))
        if path == "/-/release":
            order = json.loads(body)
            self.record(f"{self.life.name} releases {order['From']}-{order['To']}")
            self._cut(order["From"], order["To"])
            handover = f"{self.id}.{order['fence']}"
            return encode("HTTP/1.1 200 OK", {"x-handover": handover})
        return await self._run(headers, body)

    def _rejected(self, headers):
        sent = {"x-not-executed": "1"}
        if "x-request-id" in headers:
            sent["x-request-id"] = headers["x-request-id"]
        return sent

    def _grant(self, order):
        low, high, fence = order["From"], order["To"], order["fence"]
        now = time.monotonic()
        if any(f > fence for a, b, f in self.seen if a <= high and low <= b):
            return encode("HTTP/1.1 409 Conflict", {})
        if not any((h.low, h.high, h.fence) == (low, high, fence) for h in self.holds):
            self.record(f"{self.life.name} takes {low}-{high} with fence {fence}")
        self.seen.append((low, high, fence))
        self.life.takes.append((now, low, high, fence))
        self._cut(low, high)
        self.holds.append(Hold(low, high, fence, now, now + order["HoldS"]))
        return encode("HTTP/1.1 200 OK", {})

    def _cut(self, low, high):
        """End what is held of some keys."""
        self._end_spans(low, high)
        rest = []
        for h in self.holds:
            if h.high < low or high < h.low:
                rest.append(h)
                continue
            if h.low < low:
                rest.append(Hold(h.low, low - 1, h.fence, h.began, h.until))
            if high < h.high:
                rest.append(Hold(high + 1, h.high, h.fence, h.began, h.until))
        self.holds = rest

    def _end_spans(self, low, high):
        now = time.monotonic()
        for h in self.holds:
            a, b = max(low, h.low), min(high, h.high)
            if a <= b:
                self.life.spans.append((a, b, h.began, min(now, h.until)))

    def finish(self):
        """Record the spans of what is still held."""
        self._end_spans(0, 65535)

    async def _run(self, headers, body):
        key = headers.get("x-shard-key")
        now = time.monotonic()
        if self.sharded and not any(
            h.low <= int(key) <= h.high and now < h.until for h in self.holds
        ):
            return encode("HTTP/1.1 421 Misdirected", self._rejected(headers))
        name = headers.get("x-request-id", "")
        if self.shed_share and self._draw(self.shed_share):
            return encode(
                "HTTP/1.1 503 Service Unavailable",
                {"x-request-id": name, "x-not-executed": "1", "x-instance-load": f"0,0,{self.slots}"},
            )
        self.runs.append((now, self.life.name, name))
        await asyncio.sleep(self.work_s)
        sent = {"x-request-id": name, "x-response-signature": f"sig.{name}"}
        text = f"by {self.id} for {name} ".encode()
        return encode("HTTP/1.1 200 OK", sent, text + b"x" * max(0, self.answer_bytes - len(text)))


def stale_takes(lives):
    """Return takes with a fence that is not above all with which other lives had the key."""
    takes = sorted((*take, life.name) for life in lives for take in life.takes)
    broken, first = [], {}
    for t, low, high, fence, life in takes:
        if (low, high, fence, life) in first:
            continue
        first[(low, high, fence, life)] = t
        for t2, low2, high2, fence2, life2 in takes:
            if t2 < t and life2 != life and low2 <= high and low <= high2 and fence2 >= fence:
                broken.append((life, max(low, low2), min(high, high2), fence, life2, fence2))
                break
    return broken


def double_holds(lives, *, over_s=0.5):
    """Return keys that two lives held at the same time for longer than that."""
    spans = [(low, high, a, b, life.name) for life in lives for low, high, a, b in life.spans]
    merged = {}
    for low, high, a, b, life in spans:
        merged.setdefault((life, low, high), []).append((a, b))
    broken = []
    for low, high, a, b, life in spans:
        for low2, high2, a2, b2, life2 in spans:
            if life < life2 and low <= high2 and low2 <= high:
                overlap = min(b, b2) - max(a, a2)
                if overlap > over_s:
                    keys = (max(low, low2), min(high, high2))
                    broken.append((life, life2, *keys, round(overlap, 3)))
    return broken
