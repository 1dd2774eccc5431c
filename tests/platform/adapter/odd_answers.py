"""Answers of stand-in engines to the continuation of a stream that do not continue it."""

import stand_ins

SHAPES = ("error", "page", "without ids", "ids from 1", "skipped ids", "repeated ids", "empty",
          "head cut in the status line", "head cut in a header", "head cut before its end")
# Its blank lines would end events.
PAGE = b"<html>\n\n<p>welcome</p>\n\n</html>\n"
EVENT_STREAM = ("Content-Type", "text/event-stream")


def event(number, begun_by, version, has_id=True):
    head = f"id: {number}\n" if has_id else ""
    return f"{head}data: {begun_by} {version} {number}\n\n".encode()


def build(shape, headers, begun_by, version, last, count):
    """Returns the bytes of an answer in a shape, after which the connection is closed.

    headers are those of a sound answer; last is the last event that the caller has, of count.
    """
    if shape == "error":
        return stand_ins.answer_bytes(500, b"out of order", headers)
    if shape == "page":
        return stand_ins.answer_bytes(200, PAGE, [("Content-Type", "text/html"), *headers])
    numbers = {"ids from 1": range(1, count + 1), "skipped ids": range(last + 2, count + 1),
               "repeated ids": range(last, count + 1), "empty": ()}.get(shape, range(last + 1, count + 1))
    body = b"".join(event(number, begun_by, version, shape != "without ids") for number in numbers)
    whole = stand_ins.answer_bytes(200, body, [EVENT_STREAM, *headers])
    head_bytes = len(whole) - len(body)
    places = {"head cut in the status line": len("HTTP/1.1 2"), "head cut in a header": head_bytes // 2,
              "head cut before its end": head_bytes - 2}
    return whole[:places.get(shape, len(whole))]


async def answer(engine, request, send, reader, writer):
    """Answers in a shape of random choice that does not continue the stream, and closes the connection."""
    # Without a further event, an end without any is right.
    last = int(request.header("Last-Event-Id"))
    shapes = [shape for shape in SHAPES if last < engine.EVENTS or shape not in ("empty", "skipped ids")]
    shape = engine.random.choice(shapes)
    begun_by = request.header("Resumes") or request.header("X-Attempt-Id")
    engine.record.odd_answers[shape] = engine.record.odd_answers.get(shape, 0) + 1
    engine.record.ran_odd[request.header("X-Attempt-Id")] = shape
    await engine.put(send, reader, writer, build(shape, engine.headers(request), begun_by, engine.version, last,
                                                 engine.EVENTS))
    send.finish(f"odd: {shape}")
    await engine.close_in_order(writer)
