"""Tests of the structured log and of the story of a request."""

import dataclasses
import json
import pathlib
import tempfile
import unittest

import loguru

from tarragoncleat.administration import explain
from tarragoncleat.kernel import event_log

_ID = "5c0e7a21d94b36f8"


@event_log.event("something", event_log.Priority.LOW)
@dataclasses.dataclass(frozen=True, slots=True)
class _Something:
    job: str
    count: int


class SinkTest(unittest.TestCase):
    """Guards against a log that blocks the process or grows without limit."""

    def setUp(self) -> None:
        self.written = bytearray()
        self.accepts_writes = True
        self.sink = event_log.EventSink("node-1", self._write)

    def _write(self, data: bytes) -> int:
        if not self.accepts_writes:
            return 0
        self.written += data
        return len(data)

    def _put(self, count: int, time_ms: int = 5_000) -> None:
        for number in range(count):
            self.sink.write_event(
                time_ms,
                "INFO",
                "something",
                event_log.Priority.LOW,
                {"count": number},
            )

    def _lines(self) -> list[dict]:
        return [json.loads(line) for line in self.written.splitlines()]

    def test_stalled_reader_loses_lines_that_are_counted(self) -> None:
        """Guards against unlimited memory and unreported loss of lines."""
        self.accepts_writes = False
        for second in range(400):
            self._put(50, second * 1_000)
        self.assertGreater(self.sink.dropped, 0)
        self.accepts_writes = True
        self._put(2, 500_000)
        lines = self._lines()
        dropped = [x for x in lines if x["event"] == "lines_dropped"]
        self.assertEqual(len(dropped), 1)
        self.assertGreater(dropped[0]["count"], 0)

    def test_too_many_lines_of_a_kind_are_summed_up(self) -> None:
        """Guards against a frequent event that floods the log."""
        self._put(80)
        self._put(1, 6_000)
        lines = self._lines()
        self.assertEqual(
            [x for x in lines if x["event"] == "summed_up"][0]["something"], 30
        )
        self.assertEqual(len(lines), 50 + 2)

    def test_event_is_written_with_its_fields(self) -> None:
        """Guards against fields that are missing in the log line."""
        handler = loguru.logger.add(self.sink.write_record, format="{message}")
        self.addCleanup(loguru.logger.remove, handler)
        event_log.emit(_Something("j", 3))
        line = self._lines()[-1]
        self.assertEqual(line["event"], "something")
        self.assertEqual((line["job"], line["count"]), ("j", 3))
        self.assertEqual(line["node"], "node-1")


class ExplainTest(unittest.TestCase):
    """Guards against a failed request whose logs show no cause."""

    def _story(self, *lines: dict) -> explain.Explanation:
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder, "log")
            texts = [f"  1.25 core-1 {json.dumps(line)}\n" for line in lines]
            path.write_text("not JSON\n" + "".join(texts), encoding="utf-8")
            read = explain.read_lines([path])
            assert isinstance(read, list)
            return explain.explain(_ID, read)

    def _line(self, event: str, time_ms: int = 9_000, **fields: object) -> dict:
        return {"time_ms": time_ms, "node": "n", "event": event, **fields}

    def test_refused_request_names_reason_and_wait(self) -> None:
        """Guards against a refusal that is reported without its reason."""
        story = self._story(
            self._line(
                "request_refused",
                job=_ID,
                status=503,
                waited_ms=12,
                reason="no leader of the log was found",
            ),
            self._line("leadership", 8_000, term=3, leads=False),
            self._line("request_refused", job="another", status=503),
        )
        self.assertIn("no leader", story.cause or "")
        self.assertEqual(len(story.lines), 1)
        self.assertEqual(story.context[0]["event"], "leadership")

    def test_run_that_ended_badly_is_found_by_its_task(self) -> None:
        """Guards against a failed run that isn't matched to its request."""
        story = self._story(
            self._line("job_accepted", 1_000, job=_ID),
            self._line("runs_ended", runs=[[f"{_ID}.0.1.2", 1, "w", "lapsed"]]),
        )
        self.assertIn("lapsed", story.cause or "")

    def test_job_that_was_given_up_names_the_crashes(self) -> None:
        """Guards against the attempts as the cause, which it didn't use up."""
        story = self._story(
            self._line(
                "tasks_suspected",
                8_000,
                worker="w",
                runs=[["x.0.0.0", 1], [f"{_ID}.0.0.2", 3]],
                given_up=[_ID],
            ),
            self._line("job_ended", job=_ID, state="failed"),
        )
        self.assertEqual(story.cause, f"3 workers crashed under {_ID}.0.0.2")
        self.assertNotIn("x.0.0.0", story.render())

    def test_runs_of_other_requests_are_left_out(self) -> None:
        """Guards against a report that includes runs of other requests."""
        story = self._story(
            self._line("runs_started", runs=[["x.0.0.0", 1, "w"]]),
            self._line(
                "runs_started",
                runs=[["x.0.0.1", 1, "w"], [f"{_ID}.0.0.0", 1, "w"]],
            ),
        )
        self.assertNotIn("x.0.0", story.render())
        self.assertIn(f"{_ID}.0.0.0", story.render())

    def test_late_job_is_explained(self) -> None:
        """Guards against a late job that is reported without its times."""
        story = self._story(
            self._line(
                "job_ended",
                job=_ID,
                state="completed",
                age_ms=9_000,
                objective_ms=3_000,
            )
        )
        self.assertIn("9000 ms", story.cause or "")

    def test_unknown_cause_is_said(self) -> None:
        """Guards against an invented cause if the logs contain none."""
        story = self._story(self._line("job_accepted", job=_ID))
        self.assertIsNone(story.cause)
        self.assertIn("not found", story.render())
