"""Tests of orders that a worker answers without having carried them out.

A worker that is unhealthy for seconds refuses orders while its reports go on.
"""

import unittest

import anyio

from tarragoncleat.batch.workers import clients
from tests import batch_builders
from tests import dispatcher_rig

_Outcome = clients.OrderOutcome


class RefusedStopTest(dispatcher_rig.DispatcherTestCase):
    """Tests stops that a worker refuses."""

    def test_task_starts_again_after_its_withdrawal_was_refused(self) -> None:
        """Guards against a task that stays assigned and never starts.

        Its start has no answer, and the worker refuses the second attempt and
        the stop that would withdraw the first one (review/1).
        """
        for outcome in (
            _Outcome.UNHEALTHY,
            _Outcome.REFUSED,
            _Outcome.UNANSWERED,
        ):
            with self.subTest(outcome=outcome):
                self.setUp()
                self.worker.next_start_outcomes = [
                    _Outcome.UNANSWERED,
                    _Outcome.UNHEALTHY,
                ]
                self.worker.next_stop_outcomes = [outcome] * 3
                self.run_scenario(self._run_to_the_second_start)
                self.assertEqual(list(self.worker.running), [(self.key, 2)])

    async def _run_to_the_second_start(self) -> None:
        self.local.submit()
        with anyio.move_on_after(5):
            await dispatcher_rig.wait_until(lambda: self.worker.running)

    def test_refused_stops_hold_up_no_other_order(self) -> None:
        """Guards against a worker that gets no starts beside such stops."""
        self.worker.max_poll_s = 5.0
        keys = [batch_builders.task_key("job-1", index) for index in range(3)]

        async def scenario() -> None:
            self.local.submit("job-1", batch_builders.build_step(3))
            await dispatcher_rig.wait_until(
                lambda: len(self.worker.running) == len(keys)
            )
            self.worker.next_stop_outcomes = [_Outcome.REFUSED] * 1_000
            session = self.dispatcher.sessions["w-1"]
            for key in keys:
                session.stop(key, 1)
            await anyio.sleep(0.3)
            self.local.submit("job-2")
            self.dispatcher.notify_state_changed()
            await dispatcher_rig.wait_until(
                lambda: len(self.worker.running) > len(keys)
            )

        self.run_scenario(scenario)

    def test_fenced_stop_is_not_repeated(self) -> None:
        """Guards against calls of a deposed leader without end."""

        async def scenario() -> None:
            self.local.submit()
            await dispatcher_rig.wait_until(lambda: self.worker.running)
            self.worker.next_stop_outcomes = [_Outcome.FENCED] * 10
            self.dispatcher.sessions["w-1"].stop(self.key, 1)
            await anyio.sleep(0.5)

        self.run_scenario(scenario)
        self.assertEqual(len(self.worker.next_stop_outcomes), 9)

    def test_successor_that_refuses_a_stop_gets_it_again(self) -> None:
        """Guards against a late start that runs on the next incarnation.

        The stop that would prevent it was refused.
        """

        async def scenario() -> None:
            await dispatcher_rig.wait_until(
                lambda: "w-1" in self.dispatcher.sessions
            )
            self.worker.next_stop_outcomes = [
                _Outcome.UNHEALTHY,
                _Outcome.REFUSED,
                _Outcome.UNANSWERED,
            ]
            session = self.dispatcher.sessions["w-1"]
            session.refuse_start(self.key, 1)
            with anyio.move_on_after(3):
                await dispatcher_rig.wait_until(lambda: self.worker.stops)

        self.run_scenario(scenario)
        self.assertEqual([stop.run for stop in self.worker.stops], [1])


class RefusedPaceTest(dispatcher_rig.DispatcherTestCase):
    """Tests changes of speed that a worker doesn't carry out."""

    def _change_speed(
        self, outcomes: list[_Outcome], *percents: int
    ) -> list[int]:
        """Orders half speed, then further speeds; returns those it took.

        Args:
            outcomes: Outcomes of the next orders after the first one.
            percents: Further speeds.
        """

        async def scenario() -> None:
            self.local.submit()
            await dispatcher_rig.wait_until(lambda: self.worker.running)
            session = self.dispatcher.sessions["w-1"]
            session.pace(self.key, 1, 50)
            await dispatcher_rig.wait_until(lambda: self.worker.paces)
            self.worker.next_pace_outcomes = outcomes
            for percent in percents:
                session.pace(self.key, 1, percent)
                await anyio.sleep(0.05)
            await anyio.sleep(0.5)
            self.known_percent = session.paces.get((self.key, 1))

        self.run_scenario(scenario)
        return [order.percent for order in self.worker.paces]

    def test_refused_change_of_speed_is_repeated(self) -> None:
        """Guards against a task that counts as unpaced after a refusal.

        The next change was then reckoned from full speed, and could make a task
        faster that harms those beside it.
        """
        for outcome in (_Outcome.UNHEALTHY, _Outcome.UNANSWERED):
            with self.subTest(outcome=outcome):
                self.setUp()
                taken = self._change_speed([outcome] * 2, 25)
                self.assertEqual(taken, [50, 25])
                self.assertEqual(self.known_percent, 25)

    def test_only_the_latest_change_of_speed_is_repeated(self) -> None:
        """Guards against a speed that an overtaken order brings back."""
        taken = self._change_speed([_Outcome.UNHEALTHY] * 2, 25, 40)
        self.assertEqual(taken, [50, 40])

    def test_change_of_speed_that_is_refused_for_good_ends(self) -> None:
        """Guards against calls for a run that the worker doesn't know."""
        outcomes = [_Outcome.SUPERSEDED] * 9
        self.assertEqual(self._change_speed(outcomes, 25), [50])
        self.assertEqual(len(outcomes), 8)


if __name__ == "__main__":
    unittest.main()
