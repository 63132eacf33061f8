"""Options that all client commands of the command line have in common."""

from collections.abc import Callable, Mapping
import dataclasses
import functools
import inspect
import os
import pathlib
import sys
from typing import Any, Literal

from tarragoncleat.administration import admin_client
from tarragoncleat.administration import cli_output
from tarragoncleat.kernel import errors

__all__ = ["Session", "with_connection"]

_DEFAULT_URL = "http://127.0.0.1:8080"
_URL_VARIABLE = "TARRAGONCLEAT_URL"
_TOKEN_VARIABLE = "TARRAGONCLEAT_TOKEN"
_REFUSED_STATUS = 1
_UNKNOWN_STATUS = 3

_DOCUMENTATION = f"""
    url: Base URLs of entries, separated by commas, in order of preference;
        the default is ${_URL_VARIABLE} or {_DEFAULT_URL}.
    token_file: File with the bearer token; the default is ${_TOKEN_VARIABLE}.
    ca_file: Certificate authority of the entries.
    timeout_s: Limit of each attempt in seconds.
    output: Output format.
"""


@dataclasses.dataclass(frozen=True, slots=True)
class Session:
    """A connection to the API, and the output format."""

    client: admin_client.AdminClient
    output: cli_output.OutputFormat


def with_connection(
    command: Callable[..., object | errors.Failure],
) -> Callable[..., int]:
    """Adds connection options to a command, and prints its result.

    Args:
        command: Function that is called with a `Session` and its own
            arguments, and returns the result to print, or a `Failure`.

    Returns:
        A function for defopt, which returns the exit status.
    """

    @functools.wraps(command)
    def run(
        *args: Any,
        url: str | None,
        token_file: pathlib.Path | None,
        ca_file: pathlib.Path | None,
        timeout_s: float,
        output: cli_output.OutputFormat,
        **options: Any,
    ) -> int:
        try:
            token = _read_token(token_file)
            client = admin_client.AdminClient(
                _parse_urls(url), token, timeout_s, ca_file
            )
        except OSError as error:
            return _fail(f"{error.filename or ca_file}: {error.strerror}", 2)
        with client:
            result = command(Session(client, output), *args, **options)
        return _print_result(result, output)

    _add_common_options(run, command)
    return run


def _add_common_options(run: Callable, command: Callable) -> None:
    """Sets the signature of `run` to the command's with the common options."""
    own_parameters = list(inspect.signature(command).parameters.values())[1:]
    common_parameters = _common_parameters()
    signature = inspect.Signature(
        [*own_parameters, *common_parameters], return_annotation=int
    )
    attributes: dict[str, Any] = {
        "__signature__": signature,
        "__annotations__": {
            **{
                item.name: item.annotation
                for item in (*own_parameters, *common_parameters)
            },
            "return": int,
        },
    }
    text = inspect.cleandoc(command.__doc__ or "")
    if "Args:" not in text:
        text = f"{text}\n\nArgs:"
    attributes["__doc__"] = text + _DOCUMENTATION
    for name, value in attributes.items():
        setattr(run, name, value)
    # defopt follows __wrapped__ and would read the command's own signature.
    del run.__wrapped__  # type: ignore[attr-defined]


def _common_parameters() -> list[inspect.Parameter]:
    options: Mapping[str, tuple[Any, Any]] = {
        "url": (str | None, None),
        "token_file": (pathlib.Path | None, None),
        "ca_file": (pathlib.Path | None, None),
        "timeout_s": (float, 10.0),
        "output": (Literal["table", "json"], "table"),
    }
    return [
        inspect.Parameter(
            name,
            inspect.Parameter.KEYWORD_ONLY,
            annotation=annotation,
            default=default,
        )
        for name, (annotation, default) in options.items()
    ]


def _parse_urls(option: str | None) -> list[str]:
    text = option or os.environ.get(_URL_VARIABLE) or _DEFAULT_URL
    return [url.strip() for url in text.split(",") if url.strip()]


def _read_token(token_file: pathlib.Path | None) -> str | None:
    if token_file is not None:
        return token_file.read_text(encoding="utf-8").strip()
    return os.environ.get(_TOKEN_VARIABLE)


def _print_result(result: object, output: cli_output.OutputFormat) -> int:
    if not isinstance(result, errors.Failure):
        print(cli_output.render(result, output))
        return 0
    outcome = errors.HTTP_RESPONSES[result.kind].outcome
    message = f"{result.kind.value}: {result.reason}"
    if result.detail:
        message += f"\n{cli_output.render(dict(result.detail), 'json')}"
    if outcome is errors.Outcome.UNKNOWN:
        message += "\nthe outcome is unknown; resend with the same command id"
        return _fail(message, _UNKNOWN_STATUS)
    return _fail(message, _REFUSED_STATUS)


def _fail(message: str, status: int) -> int:
    print(f"tarragoncleat: {message}", file=sys.stderr)
    return status
