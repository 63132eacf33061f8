"""Tests of upstream choice, admission queue, retry budget and shares."""

import dataclasses
import unittest

import hypothesis
from hypothesis import strategies

from tarragoncleat.kernel import ids
from tarragoncleat.kernel import settings
from tarragoncleat.requests import limits
from tarragoncleat.requests import routing
from tarragoncleat.state import profiles

_ZONES = ("fukuoka-a", "kumamoto")
_SETTINGS = settings.RoutingSettings(
    eject_after_failures=2, eject_min_ms=100, eject_max_ms=800
)
_SMALL = strategies.integers(0, 8)
_properties = hypothesis.settings(
    derandomize=True, max_examples=300, deadline=None
)


@dataclasses.dataclass(frozen=True)
class _Candidate:
    upstream_id: ids.UpstreamId
    availability_zone: ids.AvailabilityZone
    slots: int = 8
    connections: int = 64
    returned_at_s: float = float("-inf")
    host: str = "127.21.0.1"
    port: int = 1


def _router() -> routing.ServiceRouter:
    return routing.ServiceRouter(_SETTINGS, ids.AvailabilityZone(_ZONES[0]))


def _candidates(count: int, **fields: int) -> list[_Candidate]:
    return [
        _Candidate(
            ids.UpstreamId(f"up-{number}"),
            ids.AvailabilityZone(_ZONES[number % 2]),
            **fields,
        )
        for number in range(count)
    ]


class ChoiceTest(unittest.TestCase):
    """Guards against overloading, retrying or starving an upstream."""

    @_properties
    @hypothesis.given(
        strategies.lists(strategies.tuples(_SMALL, _SMALL), max_size=8),
        strategies.sets(_SMALL),
        strategies.integers(1, 9),
    )
    def test_choice_is_the_least_loaded_that_may_be_used(
        self, used: list[tuple[int, int]], tried: set[int], live: int
    ) -> None:
        """Guards against choosing a busier, tried or full upstream."""
        router = _router()
        candidates = _candidates(len(used))
        elsewhere = {}
        for candidate, (own, other) in zip(candidates, used, strict=True):
            elsewhere[candidate.upstream_id] = other
            for _ in range(own):
                router.acquire(candidate.upstream_id)
        excluded = frozenset(ids.UpstreamId(f"up-{n}") for n in tried)
        chosen = router.choose(
            candidates, elsewhere.__getitem__, live, 0.0, excluded
        )
        loads = {}
        for candidate, (own, other) in zip(candidates, used, strict=True):
            share = max(-(-8 // live), 8 - other)
            if own < share and candidate.upstream_id not in excluded:
                loads[candidate] = own + other
        if not loads:
            self.assertIsNone(chosen)
            return
        assert chosen is not None
        local = [c for c in candidates if c.availability_zone == _ZONES[0]]
        zone_used = sum(sum(used[candidates.index(c)]) for c in local)
        usable_local = [c for c in local if c in loads]
        if usable_local and zone_used < 0.8 * 8 * len(local):
            self.assertIn(chosen, usable_local)
            loads = {c: loads[c] for c in usable_local}
        self.assertEqual(loads[chosen], min(loads.values()))

    @_properties
    @hypothesis.given(
        strategies.integers(1, 7),
        strategies.lists(
            strategies.tuples(_SMALL, strategies.floats(0, 0.3)), max_size=60
        ),
    )
    def test_at_most_half_is_ejected_and_one_is_always_left(
        self, count: int, failures: list[tuple[int, float]]
    ) -> None:
        """Guards against ejecting so many upstreams that none is left."""
        router = _router()
        candidates = _candidates(count)
        now_s = 0.0
        for number, pause_s in failures:
            now_s += pause_s
            name = candidates[number % count].upstream_id
            router.record_failure(name, now_s)
            ejected = router.ejected(candidates, now_s)
            self.assertLessEqual(len(ejected), count // 2)
            chosen = router.choose(candidates, lambda _: 0, 1, now_s)
            assert chosen is not None
            self.assertNotIn(chosen.upstream_id, ejected)

    def test_ejections_double_up_to_the_limit_and_end(self) -> None:
        """Guards against an ejection that doesn't end or ends too soon."""
        router = _router()
        candidates = _candidates(2)
        name = candidates[0].upstream_id
        now_s = 0.0
        self.assertFalse(router.record_failure(name, now_s))
        for length_s in (0.1, 0.2, 0.4, 0.8, 0.8):
            self.assertTrue(router.record_failure(name, now_s))
            self.assertIn(name, router.ejected(candidates, now_s + 0.09))
            now_s += length_s
            self.assertNotIn(name, router.ejected(candidates, now_s))
        router.record_success(name)
        self.assertFalse(router.record_failure(name, now_s))

    @_properties
    @hypothesis.given(strategies.floats(-1, 20), strategies.floats(0, 10))
    def test_slow_start_rises_to_the_full_share(
        self, age_s: float, more_s: float
    ) -> None:
        """Guards against a weight that falls or stays below the full share."""
        weight = routing.slow_start_weight(age_s, 0.0, 5.0)
        self.assertGreaterEqual(weight, 0.1)
        self.assertLessEqual(
            weight, routing.slow_start_weight(age_s + more_s, 0.0, 5.0)
        )
        self.assertEqual(routing.slow_start_weight(5.0, 0.0, 5.0), 1.0)

    def test_returning_upstream_gets_a_small_share_first(self) -> None:
        """Guards against a cold upstream that receives the full load."""
        router = _router()
        warm = dataclasses.replace(_candidates(1)[0], slots=100)
        cold = dataclasses.replace(
            warm, upstream_id=ids.UpstreamId("cold"), returned_at_s=0.0
        )
        for _ in range(55):
            chosen = router.choose([warm, cold], lambda _: 0, 1, 1.0)
            assert chosen is not None
            router.acquire(chosen.upstream_id)
        # After 1 s of 5 s it gets a fifth of the warm upstream's share.
        self.assertAlmostEqual(
            router.in_flight(cold.upstream_id), 55 / 6, delta=1
        )


class LimitsTest(unittest.TestCase):
    """Guards against retry storms, unfair shares and refusing urgent work."""

    @_properties
    @hypothesis.given(
        strategies.lists(
            strategies.tuples(strategies.booleans(), strategies.floats(0, 1))
        ),
        strategies.floats(0, 1),
        strategies.floats(0, 5),
    )
    def test_retries_stay_within_the_budget(
        self, steps: list[tuple[bool, float]], fraction: float, floor: float
    ) -> None:
        """Guards against more retries than the fraction and the floor allow."""
        budget = limits.RetryBudget(fraction, floor, 0.0)
        now_s, fresh, retries = 0.0, 0, 0
        for is_fresh, pause_s in steps:
            now_s += pause_s
            if is_fresh:
                fresh += 1
                budget.add_request()
            else:
                retries += budget.try_spend(now_s)
            allowed = fraction * fresh + floor * (now_s + 10)
            self.assertLessEqual(retries, allowed + 1e-6)

    @_properties
    @hypothesis.given(
        strategies.lists(
            strategies.tuples(
                strategies.sampled_from(list(profiles.Standing)),
                strategies.booleans(),
            ),
            max_size=40,
        )
    )
    def test_queue_refuses_the_lowest_standing_first(
        self, steps: list[tuple[profiles.Standing, bool]]
    ) -> None:
        """Guards against evicting or delaying work of a higher standing."""
        queue = limits.AdmissionQueue(per_service=4, total=6)
        waiting: list[limits.Ticket] = []
        for standing, is_enqueue in steps:
            if not is_enqueue:
                heads = list(queue.heads())
                if heads:
                    best = min(
                        waiting, key=lambda t: (t.standing.rank, t.sequence)
                    )
                    self.assertIs(heads[0], best)
                    self.assertTrue(queue.remove(best))
                    waiting.remove(best)
                continue
            service = ids.ServiceId(standing.value)
            ticket, evicted = queue.enqueue(service, standing)
            lowest = max((t.standing.rank for t in waiting), default=-1)
            if evicted is not None:
                self.assertEqual(evicted.standing.rank, lowest)
                self.assertGreater(lowest, standing.rank)
                waiting.remove(evicted)
            if ticket is not None:
                waiting.append(ticket)
            else:
                own = sum(t.service == service for t in waiting)
                self.assertTrue(own == 4 or lowest <= standing.rank)
            self.assertLessEqual(len(queue), 6)
            self.assertEqual(len(queue), len(waiting))

    @_properties
    @hypothesis.given(
        strategies.integers(1, 100),
        strategies.integers(1, 9),
        strategies.lists(_SMALL, min_size=9, max_size=9),
    )
    def test_share_is_fair_and_uses_what_others_leave(
        self, total: int, live: int, others: list[int]
    ) -> None:
        """Guards against shares that leave capacity unused or exceed it."""
        elsewhere = sum(others[: live - 1])
        share = limits.entry_share(total, live, elsewhere)
        self.assertGreaterEqual(share * live, total)
        self.assertGreaterEqual(share, total - elsewhere)
        self.assertLessEqual(share, total)


if __name__ == "__main__":
    unittest.main()
