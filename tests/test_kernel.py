"""Tests of settings, codec and the error table."""

import dataclasses
import enum
import pathlib
import tempfile
import unittest

import hypothesis
from hypothesis import strategies

from tarragoncleat.kernel import codec
from tarragoncleat.kernel import errors
from tarragoncleat.kernel import settings
from tests import builders


class _Colour(enum.Enum):
    RED = "red"


@codec.message("test.inner")
@dataclasses.dataclass(frozen=True)
class _Inner:
    colour: _Colour
    data: bytes


@codec.message("test.outer", version=2)
@dataclasses.dataclass(frozen=True)
class _Outer:
    items: tuple[_Inner, ...]
    names: dict[str, int]
    missing: str | None = None


@codec.message("test.later")
@dataclasses.dataclass(frozen=True)
class _Later:
    name: str
    added: bytes = dataclasses.field(default=b"", metadata=codec.OMIT_DEFAULT)


class CodecTest(unittest.TestCase):
    """Guards against messages that are altered or that crash the decoder."""

    def test_nested_message_survives_a_round_trip(self) -> None:
        """Guards against fields that change when encoded and decoded."""
        sent = _Outer((_Inner(_Colour.RED, b"\xff\x00"),), {"a": 1})
        self.assertEqual(codec.decode(codec.encode(sent)), sent)

    @hypothesis.settings(derandomize=True, max_examples=200)
    @hypothesis.given(strategies.binary(max_size=64))
    def test_damaged_data_gives_a_failure(self, data: bytes) -> None:
        """Guards against exceptions from random received bytes."""
        self.assertIsInstance(codec.decode(data), errors.Failure)

    def test_wrong_field_type_gives_a_failure(self) -> None:
        """Guards against a message with a wrong field that is accepted."""
        data = codec.encode(_Outer((), {})).replace(b"names", b"namez")
        self.assertIsInstance(codec.decode(data), errors.Failure)

    def test_field_is_left_out_only_at_its_default(self) -> None:
        """Guards against bytes of an added field, and against its loss."""
        for sent, has_field in (
            (_Later("a"), False),
            (_Later("a", b"x"), True),
        ):
            data = codec.encode(sent)
            self.assertEqual(b"added" in data, has_field)
            self.assertEqual(codec.decode(data), sent)

    def test_compact_message_has_no_field_that_is_left_out(self) -> None:
        """Guards against values that are decoded as other fields."""
        with self.assertRaises(ValueError):
            codec.message("test.compact", compact=True)(_Later)


class ErrorTableTest(unittest.TestCase):
    """Guards against an error kind without an HTTP response."""

    def test_every_kind_has_a_response(self) -> None:
        """Guards against a KeyError for a new kind."""
        self.assertEqual(set(errors.HTTP_RESPONSES), set(errors.ErrorKind))


class SettingsTest(unittest.TestCase):
    """Guards against invalid settings that are accepted."""

    def _load(self, text: str) -> settings.Settings | errors.Failure:
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / "entry.toml"
            path.write_text(text, encoding="utf-8")
            return settings.load(path)

    def test_unknown_key_is_named_with_its_file(self) -> None:
        """Guards against a misspelled key that is ignored."""
        failure = self._load("[entry]\nnonsense = 1\n")
        self.assertIsInstance(failure, errors.Failure)
        assert isinstance(failure, errors.Failure)
        self.assertIn("entry.nonsense", failure.reason)
        self.assertIn("entry.toml", failure.reason)

    def test_host_name_is_refused_as_address(self) -> None:
        """Guards against an address that isn't an IP address."""
        with self.assertRaises(ValueError):
            builders.build_settings(entry={"http_address": "localhost:1"})

    def test_election_timeout_below_heartbeats_is_refused(self) -> None:
        """Guards against elections while a leader sends heartbeats."""
        with self.assertRaises(ValueError):
            builders.build_settings(
                consensus={"heartbeat_ms": 400, "election_timeout_min_ms": 500}
            )

    def test_replicas_are_the_entries_with_a_data_folder(self) -> None:
        """Guards against entries that disagree about the replicas."""
        peer = {
            "entry_id": "entry-2",
            "availability_zone": "kumamoto",
            "address": "127.0.0.2:9080",
            "replica": True,
        }
        built = builders.build_settings(peers=[peer])
        self.assertEqual(built.replica_ids, ("entry-1", "entry-2"))


if __name__ == "__main__":
    unittest.main()
