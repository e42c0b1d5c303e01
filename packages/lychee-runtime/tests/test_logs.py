import json
import os

from loguru import logger

from lychee_runtime.logs import JsonSink
from lychee_runtime.output import BURST_LINES, MAX_PENDING_BYTES, BoundedOutput


def format_dropped(count):
    return b"left out %d\n" % count


def read_all(fd):
    os.set_blocking(fd, False)
    data = b""
    while True:
        try:
            chunk = os.read(fd, 1 << 20)
        except BlockingIOError:
            return data
        if not chunk:
            return data
        data += chunk


def test_a_record_is_one_json_object_with_its_fields():
    reader, writer = os.pipe()
    sink = JsonSink(fd=writer, program="lychee-gateway", name="edge-1")
    number = logger.add(sink.write, format="{message}")
    try:
        logger.bind(program="lychee-gateway", id="edge-1", event="answered", status=503).info("no")
    finally:
        logger.remove(number)
    line = json.loads(read_all(reader))
    assert (line["event"], line["status"], line["level"]) == ("answered", 503, "info")
    assert (line["program"], line["id"], line["message"]) == ("lychee-gateway", "edge-1", "no")


def test_a_line_has_the_exception():
    reader, writer = os.pipe()
    sink = JsonSink(fd=writer, program="p", name="n")
    number = logger.add(sink.write, format="{message}")
    try:
        raise ValueError("broken")
    except ValueError:
        logger.exception("failed")
    finally:
        logger.remove(number)
    assert "broken" in json.loads(read_all(reader))["exception"]


def test_a_stalled_reader_loses_lines_but_does_not_block():
    reader, writer = os.pipe()
    output = BoundedOutput(fd=writer, format_dropped=format_dropped)
    for _ in range(3_000):
        output.write(b"x" * 1_000 + b"\n", is_urgent=True)
    assert output.dropped > 0
    assert output._pending_bytes <= MAX_PENDING_BYTES
    assert read_all(reader)
    output.write(b"y\n", is_urgent=True)
    seen = b""
    while chunk := read_all(reader):
        seen += chunk
        output.close()
    assert b"left out %d\n" % output.dropped in seen


def test_lines_beyond_the_rate_limit_are_dropped_but_warnings_are_kept():
    reader, writer = os.pipe()
    output = BoundedOutput(fd=writer, format_dropped=format_dropped)
    for _ in range(BURST_LINES * 2):
        output.write(b"info\n", is_urgent=False)
    output.write(b"warning\n", is_urgent=True)
    seen = read_all(reader)
    assert seen.count(b"info\n") < BURST_LINES + 100
    assert b"warning\n" in seen and b"left out" in seen


def test_a_closed_reader_is_no_error():
    reader, writer = os.pipe()
    output = BoundedOutput(fd=writer, format_dropped=format_dropped)
    os.close(reader)
    output.write(b"line\n", is_urgent=True)
    assert output.dropped == 1
