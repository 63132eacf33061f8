"""Tests of the check of a configuration before it is sent."""

import contextlib
import io
import json
import pathlib
import subprocess
import sys
import tempfile
from typing import Any
import unittest

import hypothesis
from hypothesis import strategies

from fleet_adapter import check_command
from fleet_adapter import configuration_body
from tarragoncleat.kernel import errors
from tests import batch_builders

_ROOT = pathlib.Path(__file__).resolve().parent.parent
_ROUTE = batch_builders.build_configuration_fields()["routes"][0]
_SERVICE = {"name": "bidding", "rejects-overload": True}
_KEY = "sekret"


def _encode(**fields: Any) -> bytes:
    return json.dumps(
        batch_builders.build_configuration_fields(**fields)
    ).encode()


def _customer(name: str, *keys: object, **fields: Any) -> dict[str, Any]:
    return {"name": name, "api-keys": list(keys), **fields}


def _kinds(**fields: Any) -> list[tuple[str, str]]:
    """Returns the kinds and fields of what is found in a configuration."""
    report = check_command.check(_encode(**fields), None)
    return [(row.kind.value, row.field) for row in report.findings]


def _run(
    body: bytes | None,
    current: bytes | None = None,
    output_format: str = "table",
    is_strict: bool = False,
) -> tuple[int, str]:
    """Returns exit status and output; without a body the file is missing."""
    with tempfile.TemporaryDirectory() as folder:
        file = pathlib.Path(folder) / "new.json"
        if body is not None:
            file.write_bytes(body)
        against = None
        if current is not None:
            against = pathlib.Path(folder) / "current.json"
            against.write_bytes(current)
        with contextlib.redirect_stdout(io.StringIO()) as output:
            status = check_command.run(file, against, output_format, is_strict)
    return status, output.getvalue()


class FindingsTest(unittest.TestCase):
    """Guards against faults of a configuration that are not found."""

    def test_valid_configuration_has_no_findings(self) -> None:
        """Guards against warnings that operators learn to overlook."""
        spare = {"name": "reserve", "spare": True}
        nested = {**_ROUTE, "name": "r-2", "path-prefix": "/bids/late/"}
        self.assertEqual(
            _kinds(
                routes=[_ROUTE, nested],
                services=[_SERVICE, spare],
                tenants=[_customer("a", "k1"), _customer("b", "k2")],
            ),
            [],
        )

    def test_each_kind_of_warning(self) -> None:
        """Guards against entries without effect that pass unnoticed."""
        spare = {"name": "reserve", "spare": True}
        other = {**_ROUTE, "name": "r-2"}
        route, pools = "routes[1]", [_SERVICE, spare]
        for kind, field, fields in (
            ("host-never-matches", route, {"routes": [{**other, "host": ""}]}),
            (
                "host-never-matches",
                route,
                {"routes": [{**other, "host": " a"}]},
            ),
            (
                "prefix-never-matches",
                route,
                {"routes": [{**other, "path-prefix": "x/"}]},
            ),
            (
                "prefix-never-matches",
                route,
                {
                    "routes": [
                        {**other, "path-prefix": ""},
                        {**other, "path-prefix": "/", "name": "r-3"},
                    ]
                },
            ),
            (
                "unattainable-objective",
                route,
                {"routes": [{**other, "host": "b", "stretch": 0.9}]},
            ),
            (
                "unattainable-objective",
                route,
                {
                    "routes": [
                        {
                            **other,
                            "host": "b",
                            "stretch": 1,
                            "target-latency-ms": 0,
                        }
                    ]
                },
            ),
            (
                "queue-on-spare-pool",
                route,
                {
                    "routes": [{**other, "host": "b", "service": "reserve"}],
                    "services": pools,
                },
            ),
            (
                "replaced-value",
                "routes[1].max-attempts",
                {"routes": [{**other, "host": "b", "max-attempts": 0}]},
            ),
            (
                "unused-service",
                "services[1]",
                {"services": [_SERVICE, {"name": "idle"}]},
            ),
            (
                "several-spare-pools",
                "services[2]",
                {"services": [*pools, {"name": "second", "spare": True}]},
            ),
            (
                "customer-without-keys",
                "tenants[1]",
                {"tenants": [_customer("a", "k1"), _customer("b")]},
            ),
            ("nobody-admitted", "tenants", {"tenants": []}),
            (
                "replaced-value",
                "tenants[0].api-keys[2]",
                {"tenants": [_customer("a", "k1", "k2", "k1")]},
            ),
        ):
            with self.subTest(kind=kind, fields=fields):
                routes = [_ROUTE, *fields.pop("routes", ())]
                self.assertEqual(
                    _kinds(routes=routes, **fields), [(kind, field)]
                )

    def test_repeated_names_are_found(self) -> None:
        """Guards against a service that silently replaces another one."""
        self.assertEqual(
            _kinds(
                routes=[_ROUTE, {**_ROUTE, "host": "b"}],
                services=[_SERVICE, _SERVICE],
            ),
            [
                ("repeated-name", "routes[0]"),
                ("repeated-name", "routes[1]"),
                ("repeated-name", "services[0]"),
                ("repeated-name", "services[1]"),
            ],
        )

    def test_all_invalid_entries_are_listed(self) -> None:
        """Guards against a check that has to be repeated for each error."""
        routes = [
            {**_ROUTE, "timeout-ms": 0},
            {**_ROUTE, "host": 3},
            _ROUTE,
            {**_ROUTE, "service": "unknown"},
            "no route",
        ]
        customers = [
            _customer("a", "k1", "k2"),
            _customer("b", 3),
            _customer("c", weight=-1),
            _customer("d", "k3", "k2"),
            _customer(""),
        ]
        findings = _kinds(routes=routes, version="7", tenants=customers)
        self.assertEqual(
            [field for _, field in findings],
            [
                "routes[0].timeout-ms",
                "routes[1].host",
                "routes[4]",
                "routes[3].service",
                "routes[3]",
                "version",
                "tenants[1].api-keys[0]",
                "tenants[2].weight",
                "tenants[4].name",
                "tenants[0].api-keys[1]",
                "tenants[3].api-keys[1]",
            ],
        )
        self.assertEqual({kind for kind, _ in findings}, {"invalid-field"})


class ComparisonTest(unittest.TestCase):
    """Guards against changes that the operator isn't shown."""

    def _changes(
        self, current: dict[str, Any], new: dict[str, Any]
    ) -> list[dict[str, Any]]:
        status, output = _run(
            _encode(version=8, **new), _encode(**current), "json"
        )
        self.assertEqual(status, 0, output)
        return json.loads(output)["changes"]

    def test_equal_entries_are_no_changes(self) -> None:
        """Guards against a list of changes that hides the real ones."""
        self.assertEqual(self._changes({}, {}), [])

    def test_queues_are_compared_by_host_and_prefix(self) -> None:
        """Guards against a moved queue without a word on its callers."""
        late = {**_ROUTE, "name": "late", "path-prefix": "/bids/late/"}
        kept = {**_ROUTE, "timeout-ms": 4000, "target-latency-ms": 700}
        added, changed = self._changes(
            {"routes": [_ROUTE]}, {"routes": [late, kept]}
        )
        self.assertEqual(added["action"], "added")
        self.assertIn("until now in queue r-1", added["affects"])
        self.assertEqual(
            changed["details"],
            [
                {"field": "timeout-ms", "old": 3000, "new": 4000},
                {"field": "target-latency-ms", "old": 600, "new": 700},
            ],
        )
        (removed,) = self._changes(
            {"routes": [_ROUTE, late]}, {"routes": [_ROUTE]}
        )
        self.assertEqual(removed["action"], "removed")
        self.assertIn("get to queue r-1", removed["affects"])

    def test_services_name_their_queues(self) -> None:
        """Guards against a change whose queues aren't named."""
        (change,) = self._changes(
            {}, {"services": [{**_SERVICE, "rejects-overload": False}]}
        )
        self.assertEqual(
            change["details"],
            [{"field": "rejects-overload", "old": True, "new": False}],
        )
        self.assertEqual(change["affects"], "the queues r-1")

    def test_customers_show_counts_of_keys(self) -> None:
        """Guards against a withdrawn key that nobody notices."""
        cap = {"cpu": 500, "mem-mb": 0, "gpu": 0}
        no_cap = {"cpu": 0, "mem-mb": 0, "gpu": 0}
        changed, removed = self._changes(
            {"tenants": [_customer("a", "k1", "k2"), _customer("b", "k5")]},
            {"tenants": [_customer("a", "k2", "k3", "k4", weight=2, cap=cap)]},
        )
        self.assertEqual(
            changed["details"],
            [
                {"field": "api-keys", "added": 2, "withdrawn": 1},
                {"field": "weight", "old": 1.0, "new": 2.0},
                {"field": "cap", "old": no_cap, "new": cap},
            ],
        )
        self.assertEqual(removed["name"], "b")
        self.assertEqual(removed["details"][0]["withdrawn"], 1)
        listed, added = self._changes({}, {"tenants": [_customer("a", "k1")]})
        self.assertIn("without a key they are refused", listed["affects"])
        self.assertEqual(added["details"][0]["added"], 1)

    def test_version_must_be_higher(self) -> None:
        """Guards against a configuration that is confirmed without effect."""
        for version in (6, 7):
            status, output = _run(_encode(version=version), _encode())
            self.assertEqual(status, 2)
            self.assertIn("version 7 is in force", output)


class CommandTest(unittest.TestCase):
    """Guards against output and exit statuses that mislead scripts."""

    def test_exit_status(self) -> None:
        """Guards against warnings that stop a script, or errors that don't."""
        warning = _encode(tenants=[_customer("a", "k1"), _customer("b")])
        for status, is_strict, body in (
            (0, True, _encode()),
            (0, False, warning),
            (1, True, warning),
            (2, False, _encode(version=None)),
        ):
            for output_format in ("table", "json"):
                result, output = _run(body, None, output_format, is_strict)
                self.assertEqual(result, status, output)

    def test_unreadable_files_are_errors(self) -> None:
        """Guards against a traceback where a file is missing or damaged."""
        for body, current, text in (
            (None, None, "No such file"),
            (b"{", None, "not JSON"),
            (b"\xff", None, "not JSON"),
            (b"[]", None, "must be an object"),
            (_encode(), b"{}", "the configuration in force: services"),
        ):
            status, output = _run(body, current)
            self.assertEqual(status, 2)
            self.assertIn(text, output)

    def test_names_cannot_break_the_table(self) -> None:
        """Guards against a name that forges a line of the output."""
        body = _encode(services=[_SERVICE, {"name": "x\nerror  y\x1b[2J"}])
        output = _run(body)[1]
        self.assertIn(r"x\nerror  y\u001b[2J", output)
        self.assertNotIn("\x1b", output)

    def test_command_line(self) -> None:
        """Guards against a command that the program doesn't offer."""
        with tempfile.TemporaryDirectory() as folder:
            file = pathlib.Path(folder) / "new.json"
            file.write_bytes(_encode(tenants=[]))
            script = str(_ROOT / "platform" / "serve.py")
            command = [sys.executable, script, "check", str(file), "--strict"]
            result = subprocess.run(
                [*command, "--format", "json"], capture_output=True, check=False
            )
        self.assertEqual(result.returncode, 1, result.stderr)
        self.assertEqual(json.loads(result.stdout)["warnings"], 1)

    def test_daemons_do_not_load_the_check(self) -> None:
        """Guards against daemons that start later for a tool's modules."""
        script = (
            "import sys; sys.path.append('platform');"
            "from fleet_adapter import main;"
            "sys.exit(any('check' in name.rpartition('.')[2] for name in"
            " sys.modules if name.startswith(('fleet_', 'tarragoncleat'))))"
        )
        result = subprocess.run(
            [sys.executable, "-c", script], cwd=_ROOT, check=False
        )
        self.assertEqual(result.returncode, 0)


_TEXT = strategies.sampled_from(["", "/", "/a/", "/a/b/", "a", "é\n", "b"])
_NAME = strategies.sampled_from(["bidding", "b"])
_NUMBER = strategies.sampled_from([0, 0.5, 1, 2.5, 10**18])
_ANY_NUMBER = _NUMBER | strategies.sampled_from([2**63, 10**400, -1, None, ""])
_GOOD_KEY = strategies.integers(0, 20).map(lambda number: f"{_KEY}-{number}")
_BAD_KEY = strategies.sampled_from([f"{_KEY} x", f"{_KEY}é", _KEY * 100, 1])


def _objects(**fields: strategies.SearchStrategy) -> Any:
    return strategies.lists(strategies.fixed_dictionaries(fields), max_size=3)


def _configurations(
    number: Any, key: Any, positive: Any
) -> strategies.SearchStrategy:
    route = {
        "name": _TEXT,
        "host": _TEXT,
        "path-prefix": _TEXT,
        "service": _NAME,
        "timeout-ms": positive,
        "max-attempts": number,
        "stretch": number,
        "target-latency-ms": number,
    }
    customer = {
        "name": _TEXT.filter(bool),
        "api-keys": strategies.lists(key, max_size=3),
        "weight": positive,
        "cap": strategies.fixed_dictionaries({"cpu": number}),
    }
    services = _objects(name=_NAME, spare=strategies.booleans())
    return strategies.fixed_dictionaries(
        {
            "version": strategies.integers(1, 3),
            "services": services.map(lambda items: [*items, {"name": "b"}]),
            "routes": _objects(**route),
        },
        optional={"tenants": _objects(**customer)},
    )


_CONFIGURATIONS = _configurations(
    _NUMBER, _GOOD_KEY, strategies.integers(1, 9)
) | _configurations(_ANY_NUMBER, _GOOD_KEY | _BAD_KEY, _ANY_NUMBER)


class AnyConfigurationTest(unittest.TestCase):
    """Guards against checks that raise, and against keys in the output."""

    @hypothesis.given(new=_CONFIGURATIONS, current=_CONFIGURATIONS)
    @hypothesis.settings(derandomize=True, deadline=None)
    def test_any_configuration(self, new: Any, current: Any) -> None:
        """Guards against a check that judges otherwise than the decoder."""
        body, current_body = (
            json.dumps(item).encode() for item in (new, current)
        )
        decoded = configuration_body.decode_configuration(body)
        is_refused = isinstance(decoded, errors.Failure)
        for output_format in ("table", "json"):
            status, output = _run(body, None, output_format)
            self.assertEqual(status, 2 if is_refused else 0, output)
            _, compared = _run(body, current_body, output_format)
            self.assertNotIn(_KEY, output + compared)


if __name__ == "__main__":
    unittest.main()
