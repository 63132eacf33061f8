"""Configuration of the log."""

import sys

import loguru

__all__ = ["configure"]

_PLAIN_FORMAT = (
    "{time:YYYY-MM-DDTHH:mm:ss.SSSZ} {level: <7} {name} {message} {extra}"
)


def configure(level: str, json: bool) -> None:
    """Writes the log of the process to standard error.

    Args:
        level: Lowest level that is written, such as "INFO".
        json: Whether each record is written as a line of JSON.
    """
    loguru.logger.remove()
    loguru.logger.add(
        sys.stderr,
        level=level,
        serialize=json,
        format=_PLAIN_FORMAT,
        backtrace=False,
        diagnose=False,
    )
