"""The command line `tarragoncleat`.

The exit status is 0 on success, 1 when the request was refused and had no
effect, 2 on incorrect usage, and 3 when the outcome is unknown.
"""

from collections.abc import Callable, Sequence
import datetime as dt
import importlib
import json
import pathlib
import sys
from typing import Any, Literal

import defopt
import pydantic

from tarragoncleat.administration import cli_options
from tarragoncleat.administration import cli_output
from tarragoncleat.administration import explain
from tarragoncleat.administration import reports
from tarragoncleat.kernel import errors

__all__ = ["main"]

_MS_PER_S = 1000
_REFUSED_STATUS = 1
_USAGE_STATUS = 2
_REPORT_ADAPTER = pydantic.TypeAdapter(reports.Report)
_Session = cli_options.Session


def main(argv: Sequence[str] | None = None) -> None:
    """Runs the command line and exits.

    Args:
        argv: Arguments; None means those of the process.
    """
    arguments = None if argv is None else list(argv)
    sys.exit(defopt.run(_commands(), argv=arguments, short={}))


def _entry(*, settings: pathlib.Path) -> int:
    """Runs an entry until it is stopped.

    Args:
        settings: Settings file of the entry.
    """
    # Imported here, because loading the daemon would slow down the client
    # commands.
    daemon = importlib.import_module("tarragoncleat.process.entry")
    return daemon.main(settings)


def _explain(request_id: str, *files: pathlib.Path) -> int:
    """Explains why a request failed or was late, from the logs.

    Args:
        request_id: Id of the request or job.
        files: Log files of one or more processes.
    """
    lines = explain.read_lines(files)
    if isinstance(lines, errors.Failure):
        sys.stderr.write(f"{lines.reason}\n")
        return _USAGE_STATUS
    explanation = explain.explain(request_id, lines)
    if not explanation.lines:
        sys.stderr.write(f"no log line mentions {request_id}\n")
        return _REFUSED_STATUS
    sys.stdout.write(f"{explanation.render()}\n")
    return 0 if explanation.cause else _REFUSED_STATUS


def _report(
    session: _Session,
    *,
    service: str,
    since: str | None = None,
    until: str | None = None,
    form: Literal["markdown", "html", "table", "json"] = "markdown",
    file: pathlib.Path | None = None,
) -> object:
    """Reports the capacity that a service was granted and denied.

    Args:
        session: Connection to an entry.
        service: Service to report on.
        since: Start, as an ISO 8601 time or milliseconds since the epoch.
        until: End, exclusive, in the same format.
        form: Format of the report; only HTML has a plot, and a table has only
            the ledger entries.
        file: File to write to instead of standard output.
    """
    query = {"service": service}
    for name, text in (("since", since), ("until", until)):
        if text is not None:
            time_ms = _parse_time_ms(text)
            if isinstance(time_ms, errors.Failure):
                return time_ms
            query[name] = str(time_ms)
    reply = session.client.get("report", query)
    if isinstance(reply, errors.Failure):
        return reply
    text = _render_report(reply.body["report"], form)
    if file is None:
        return text
    try:
        file.write_text(text, encoding="utf-8")
    except OSError as error:
        return _bad_request(f"{file}: {error.strerror}")
    return f"wrote {file}"


def _render_report(body: Any, form: str) -> str:
    if form == "json":
        return json.dumps(body, indent=2)
    if form == "table":
        return cli_output.render(body["lines"], "table")
    report = _REPORT_ADAPTER.validate_python(body)
    if form == "html":
        return reports.to_html(report)
    return reports.to_markdown(report)


def _state(session: _Session) -> object:
    """Shows the internal state of the entry's process."""
    return _reply_body(session.client.get("state"))


def _metrics(session: _Session) -> object:
    """Shows the metrics of the entry's process."""
    return _reply_body(session.client.get("metrics"))


def _configuration(session: _Session) -> object:
    """Shows the configuration revision of every entry, and its age."""
    reply = session.client.get("configuration")
    if isinstance(reply, errors.Failure) or session.output == "json":
        return _reply_body(reply)
    return [
        {"entry": name, **values}
        for name, values in reply.body["entries"].items()
    ]


def _command(session: _Session, command_id: str) -> object:
    """Shows the result of a command.

    Args:
        session: Connection to an entry.
        command_id: Command-Id of the command.
    """
    return _reply_body(session.client.get(f"commands/{command_id}"))


def _ledger(
    session: _Session,
    *,
    service: str | None = None,
    kind: str | None = None,
    since: str | None = None,
    until: str | None = None,
) -> object:
    """Lists ledger entries.

    Args:
        session: Connection to an entry.
        service: Only entries of this service.
        kind: Only entries of these kinds, separated by commas.
        since: Start, as an ISO 8601 time or milliseconds since the epoch.
        until: End, exclusive, in the same format.
    """
    query = {}
    for name, text in (("since", since), ("until", until)):
        if text is not None:
            time_ms = _parse_time_ms(text)
            if isinstance(time_ms, errors.Failure):
                return time_ms
            query[name] = str(time_ms)
    if service is not None:
        query["service"] = service
    if kind is not None:
        query["kind"] = kind
    return session.client.get_all("ledger", {**query, "limit": "1000"})


def _list_command(kind: str) -> Callable:
    def list_all(session: _Session, *, filter: str = "") -> object:
        """Lists objects.

        Args:
            session: Connection to an entry.
            filter: Conditions of the form NAME=VALUE, separated by commas,
                such as state=lost,pool=bidding.
        """
        query = {"limit": "1000"}
        for condition in _split_list(filter):
            name, separator, value = condition.partition("=")
            if not separator:
                return _bad_request(f"--filter {condition}: must be NAME=VALUE")
            query[name] = value
        return session.client.get_all(kind, query)

    return cli_options.with_connection(list_all)


def _show_command(kind: str) -> Callable:
    def show(session: _Session, name: str) -> object:
        """Shows one object.

        Args:
            session: Connection to an entry.
            name: Id of the object.
        """
        return _reply_body(session.client.get(f"{kind}/{name}"), "item")

    return cli_options.with_connection(show)


def _put_command(kind: str) -> Callable:
    def put(
        session: _Session,
        name: str,
        *,
        file: pathlib.Path,
        if_match: int | None = None,
        command_id: str | None = None,
    ) -> object:
        """Creates or replaces an object.

        Args:
            session: Connection to an entry.
            name: Id of the object.
            file: JSON file with the fields; - reads standard input.
            if_match: Required revision of the object; 0 for a new object.
            command_id: Id of the command; resending it has no further effect.
        """
        body = _read_json(file)
        if isinstance(body, errors.Failure):
            return body
        return _reply_body(
            session.client.send_command(
                "PUT", f"{kind}/{name}", body, if_match, command_id
            )
        )

    return cli_options.with_connection(put)


def _action_command(kind: str, action: str, summary: str) -> Callable:
    def run_action(
        session: _Session,
        name: str,
        *,
        if_match: int | None = None,
        command_id: str | None = None,
    ) -> object:
        method, path = "POST", f"{kind}/{name}/{action}"
        if action == "delete":
            method, path = "DELETE", f"{kind}/{name}"
        return _reply_body(
            session.client.send_command(
                method, path, None, if_match, command_id
            )
        )

    run_action.__doc__ = f"""{summary}

        Args:
            session: Connection to an entry.
            name: Id of the object.
            if_match: Required revision of the object.
            command_id: Id of the command; resending it has no further effect.
        """
    return cli_options.with_connection(run_action)


def _move_instance(
    session: _Session,
    name: str,
    pool: str,
    *,
    if_match: int | None = None,
    command_id: str | None = None,
) -> object:
    """Drains an instance and moves it to another pool.

    Args:
        session: Connection to an entry.
        name: Id of the instance.
        pool: Pool to move to; the current pool cancels a move.
        if_match: Required revision of the instance.
        command_id: Id of the command; resending it has no further effect.
    """
    return _reply_body(
        session.client.send_command(
            "POST",
            f"instances/{name}/move",
            {"pool_id": pool},
            if_match,
            command_id,
        )
    )


def _propose_wave(
    session: _Session,
    name: str,
    *,
    firm: str | None = None,
    pools: str = "",
    availability_zones: str = "",
    racks: str = "",
    instances: str = "",
    action: str = "reboot",
    command_id: str | None = None,
) -> object:
    """Proposes a maintenance wave for the union of the given selections.

    Args:
        session: Connection to an entry.
        name: Id of the wave.
        firm: Firm of the wave; the default is the firm of the token.
        pools: Pools, separated by commas.
        availability_zones: Availability zones, separated by commas.
        racks: Racks, separated by commas.
        instances: Instances, separated by commas.
        action: Maintenance action.
        command_id: Id of the command; resending it has no further effect.
    """
    body: dict[str, object] = {
        "selection": {
            "pools": _split_list(pools),
            "availability_zones": _split_list(availability_zones),
            "racks": _split_list(racks),
            "instances": _split_list(instances),
        },
        "action": action,
    }
    if firm is not None:
        body["firm"] = firm
    return _reply_body(
        session.client.send_command(
            "PUT", f"waves/{name}", body, None, command_id
        )
    )


def _submit_jobs(
    session: _Session, *, file: pathlib.Path, command_id: str | None = None
) -> object:
    """Submits jobs.

    Args:
        session: Connection to an entry.
        file: JSON file with a list of jobs; - reads standard input.
        command_id: Id of the command; resending it has no further effect.
    """
    jobs = _read_json(file)
    if isinstance(jobs, errors.Failure):
        return jobs
    body = jobs if isinstance(jobs, dict) else {"jobs": jobs}
    reply = session.client.send_command("POST", "jobs", body, None, command_id)
    if isinstance(reply, errors.Failure) or session.output == "json":
        return _reply_body(reply)
    return reply.body["value"]["jobs"]


def _cancel_jobs(
    session: _Session, *names: str, command_id: str | None = None
) -> object:
    """Cancels jobs.

    Args:
        session: Connection to an entry.
        names: Ids of the jobs.
        command_id: Id of the command; resending it has no further effect.
    """
    return _reply_body(
        session.client.send_command(
            "POST", "jobs/cancel", {"job_ids": names}, None, command_id
        )
    )


def _object_commands(
    kind: str, *, deletable: bool = True
) -> dict[str, Callable]:
    object_commands = {
        "list": _list_command(kind),
        "show": _show_command(kind),
        "put": _put_command(kind),
    }
    if deletable:
        object_commands["delete"] = _action_command(
            kind, "delete", "Deletes an object."
        )
    return object_commands


def _commands() -> dict[str, Any]:
    with_connection = cli_options.with_connection
    return {
        "entry": _entry,
        "explain": _explain,
        "profile": _object_commands("profiles"),
        "service": _object_commands("services"),
        "team": _object_commands("teams", deletable=False),
        "pool": _object_commands("pools"),
        "instance": {
            **_object_commands("instances"),
            "move": with_connection(_move_instance),
        },
        "wave": {
            "list": _list_command("waves"),
            "show": _show_command("waves"),
            "propose": with_connection(_propose_wave),
            "approve": _action_command("waves", "approve", "Approves a wave."),
            "pause": _action_command(
                "waves", "pause", "Pauses a wave: no further drains start."
            ),
            "resume": _action_command(
                "waves", "resume", "Resumes a paused wave."
            ),
            "cancel": _action_command(
                "waves",
                "cancel",
                "Cancels a wave for good: no further drains start.",
            ),
        },
        "job": {
            "list": _list_command("jobs"),
            "show": _show_command("jobs"),
            "submit": with_connection(_submit_jobs),
            "cancel": with_connection(_cancel_jobs),
        },
        "replica": {
            "add": _action_command(
                "replicas", "add", "Adds a replica to the voters."
            ),
            "remove": _action_command(
                "replicas", "remove", "Removes a replica from the voters."
            ),
        },
        "report": with_connection(_report),
        "ledger": with_connection(_ledger),
        "command": with_connection(_command),
        "state": with_connection(_state),
        "metrics": with_connection(_metrics),
        "configuration": with_connection(_configuration),
    }


def _reply_body(reply: Any, field: str | None = None) -> object:
    if isinstance(reply, errors.Failure):
        return reply
    return reply.body if field is None else reply.body[field]


def _split_list(text: str) -> list[str]:
    return [item.strip() for item in text.split(",") if item.strip()]


def _read_json(file: pathlib.Path) -> Any:
    try:
        if str(file) == "-":
            return json.load(sys.stdin)
        return json.loads(file.read_text(encoding="utf-8"))
    except OSError as error:
        return _bad_request(f"{file}: {error.strerror}")
    except ValueError as error:
        return _bad_request(f"{file}: not JSON: {error}")


def _parse_time_ms(text: str) -> int | errors.Failure:
    if text.isdecimal():
        return int(text)
    try:
        moment = dt.datetime.fromisoformat(text)
    except ValueError:
        return _bad_request(
            f"{text}: neither an ISO 8601 time nor milliseconds"
        )
    if moment.tzinfo is None:
        moment = moment.replace(tzinfo=dt.UTC)
    return int(moment.timestamp() * _MS_PER_S)


def _bad_request(reason: str) -> errors.Failure:
    return errors.Failure(errors.ErrorKind.BAD_REQUEST, reason)
