"""Log set-up."""

import sys

import loguru

__all__ = ["configure"]

_PLAIN_FORMAT = (
    "{time:YYYY-MM-DDTHH:mm:ss.SSSZ} {level: <7} {name} {message} {extra}"
)


def configure(level: str, json: bool) -> None:
    """Sends the process's log to standard error.

    Args:
        level: Lowest level that is written, such as "INFO".
        json: Whether each record is one JSON object a line.
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
