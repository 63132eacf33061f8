"""The command line `tarragoncleat`.

The exit status is 0 on success, 1 when the request was refused and certainly
had no effect, 2 on wrong usage, and 3 when the outcome is unknown.
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
_REPORT = pydantic.TypeAdapter(reports.Report)
_Session = cli_options.Session


def main(argv: Sequence[str] | None = None) -> None:
    """Runs the command line and exits.

    Args:
        argv: Arguments; those of the process when None.
    """
    arguments = None if argv is None else list(argv)
    sys.exit(defopt.run(_commands(), argv=arguments, short={}))


def _entry(*, settings: pathlib.Path) -> int:
    """Runs an entry until it is stopped.

    Args:
        settings: Settings file of the entry.
    """
    # The daemon is loaded only here, so that the client starts quickly.
    daemon = importlib.import_module("tarragoncleat.process.entry")
    return daemon.main(settings)


def _explain(request_id: str, *files: pathlib.Path) -> int:
    """Tells the story of a request from the logs of several processes.

    Args:
        request_id: Id of the request or job.
        files: Logs to read.
    """
    lines = explain.read_lines(files)
    if isinstance(lines, errors.Failure):
        sys.stderr.write(f"{lines.reason}\n")
        return _USAGE_STATUS
    story = explain.explain(request_id, lines)
    if not story.lines:
        sys.stderr.write(f"no line names {request_id}\n")
        return _REFUSED_STATUS
    sys.stdout.write(f"{story.render()}\n")
    return 0 if story.cause else _REFUSED_STATUS


def _report(
    session: _Session,
    *,
    service: str,
    since: str | None = None,
    until: str | None = None,
    form: Literal["markdown", "html", "table", "json"] = "markdown",
    file: pathlib.Path | None = None,
) -> object:
    """Reports what a service was granted and denied.

    Args:
        session: Connection to an entry.
        service: Service to report on.
        since: Start, as an ISO 8601 time or milliseconds since the epoch.
        until: End, exclusive, in the same form.
        form: Form of the report; HTML has a plot, a table only the entries.
        file: File to write instead of standard output.
    """
    query = {"service": service}
    for name, text in (("since", since), ("until", until)):
        if text is not None:
            time_ms = _time_ms(text)
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
        return _bad(f"{file}: {error.strerror}")
    return f"wrote {file}"


def _render_report(body: Any, form: str) -> str:
    if form == "json":
        return json.dumps(body, indent=2)
    if form == "table":
        return cli_output.render(body["lines"], "table")
    report = _REPORT.validate_python(body)
    if form == "html":
        return reports.to_html(report)
    return reports.to_markdown(report)


def _state(session: _Session) -> object:
    """Dumps the state of the entry's process."""
    return _body(session.client.get("state"))


def _metrics(session: _Session) -> object:
    """Shows the metrics of the entry's process."""
    return _body(session.client.get("metrics"))


def _configuration(session: _Session) -> object:
    """Shows the revision in force on every entry, and its age."""
    reply = session.client.get("configuration")
    if isinstance(reply, errors.Failure) or session.output == "json":
        return _body(reply)
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
    return _body(session.client.get(f"commands/{command_id}"))


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
        kind: Only these kinds, separated by commas.
        since: Start, as an ISO 8601 time or milliseconds since the epoch.
        until: End, exclusive, in the same form.
    """
    query = {}
    for name, text in (("since", since), ("until", until)):
        if text is not None:
            time_ms = _time_ms(text)
            if isinstance(time_ms, errors.Failure):
                return time_ms
            query[name] = str(time_ms)
    if service is not None:
        query["service"] = service
    if kind is not None:
        query["kind"] = kind
    return session.client.get_all("ledger", {**query, "limit": "1000"})


def _lister(kind: str) -> Callable:
    def list_all(session: _Session, *, filter: str = "") -> object:
        """Lists objects.

        Args:
            session: Connection to an entry.
            filter: Conditions NAME=VALUE separated by commas, such as
                state=lost,pool=bidding.
        """
        query = {"limit": "1000"}
        for condition in _split(filter):
            name, separator, value = condition.partition("=")
            if not separator:
                return _bad(f"--filter {condition}: must be NAME=VALUE")
            query[name] = value
        return session.client.get_all(kind, query)

    return cli_options.connected(list_all)


def _shower(kind: str) -> Callable:
    def show(session: _Session, name: str) -> object:
        """Shows one object.

        Args:
            session: Connection to an entry.
            name: Id of the object.
        """
        return _body(session.client.get(f"{kind}/{name}"), "item")

    return cli_options.connected(show)


def _putter(kind: str) -> Callable:
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
            file: JSON file with its fields; - reads standard input.
            if_match: Revision that it must have; 0 for a new object.
            command_id: Id under which the command can be sent again.
        """
        body = _read_json(file)
        if isinstance(body, errors.Failure):
            return body
        return _body(
            session.client.give(
                "PUT", f"{kind}/{name}", body, if_match, command_id
            )
        )

    return cli_options.connected(put)


def _giver(kind: str, action: str, summary: str) -> Callable:
    def give(
        session: _Session,
        name: str,
        *,
        if_match: int | None = None,
        command_id: str | None = None,
    ) -> object:
        method, path = "POST", f"{kind}/{name}/{action}"
        if action == "delete":
            method, path = "DELETE", f"{kind}/{name}"
        return _body(
            session.client.give(method, path, None, if_match, command_id)
        )

    give.__doc__ = f"""{summary}

        Args:
            session: Connection to an entry.
            name: Id of the object.
            if_match: Revision that it must have.
            command_id: Id under which the command can be sent again.
        """
    return cli_options.connected(give)


def _move(
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
        pool: Pool to move to; its own pool cancels a move.
        if_match: Revision that the instance must have.
        command_id: Id under which the command can be sent again.
    """
    return _body(
        session.client.give(
            "POST",
            f"instances/{name}/move",
            {"pool_id": pool},
            if_match,
            command_id,
        )
    )


def _propose(
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
    """Proposes a maintenance wave over the union of what is named.

    Args:
        session: Connection to an entry.
        name: Id of the wave.
        firm: Firm of the wave; the token's firm without it.
        pools: Pools to cover, separated by commas.
        availability_zones: Availability zones, separated by commas.
        racks: Racks, separated by commas.
        instances: Instances, separated by commas.
        action: Maintenance action.
        command_id: Id under which the command can be sent again.
    """
    body: dict[str, object] = {
        "selection": {
            "pools": _split(pools),
            "availability_zones": _split(availability_zones),
            "racks": _split(racks),
            "instances": _split(instances),
        },
        "action": action,
    }
    if firm is not None:
        body["firm"] = firm
    return _body(
        session.client.give("PUT", f"waves/{name}", body, None, command_id)
    )


def _submit(
    session: _Session, *, file: pathlib.Path, command_id: str | None = None
) -> object:
    """Submits jobs.

    Args:
        session: Connection to an entry.
        file: JSON file with a list of jobs; - reads standard input.
        command_id: Id under which the command can be sent again.
    """
    jobs = _read_json(file)
    if isinstance(jobs, errors.Failure):
        return jobs
    body = jobs if isinstance(jobs, dict) else {"jobs": jobs}
    reply = session.client.give("POST", "jobs", body, None, command_id)
    if isinstance(reply, errors.Failure) or session.output == "json":
        return _body(reply)
    return reply.body["value"]["jobs"]


def _cancel(
    session: _Session, *names: str, command_id: str | None = None
) -> object:
    """Cancels jobs.

    Args:
        session: Connection to an entry.
        names: Ids of the jobs.
        command_id: Id under which the command can be sent again.
    """
    return _body(
        session.client.give(
            "POST", "jobs/cancel", {"job_ids": names}, None, command_id
        )
    )


def _objects(kind: str, *, deletable: bool = True) -> dict[str, Callable]:
    found = {
        "list": _lister(kind),
        "show": _shower(kind),
        "put": _putter(kind),
    }
    if deletable:
        found["delete"] = _giver(kind, "delete", "Deletes an object.")
    return found


def _commands() -> dict[str, Any]:
    connected = cli_options.connected
    return {
        "entry": _entry,
        "explain": _explain,
        "profile": _objects("profiles"),
        "service": _objects("services"),
        "team": _objects("teams", deletable=False),
        "pool": _objects("pools"),
        "instance": {**_objects("instances"), "move": connected(_move)},
        "wave": {
            "list": _lister("waves"),
            "show": _shower("waves"),
            "propose": connected(_propose),
            "approve": _giver("waves", "approve", "Approves a wave."),
            "pause": _giver("waves", "pause", "Stops new drains for now."),
            "resume": _giver("waves", "resume", "Lets a wave go on."),
            "cancel": _giver("waves", "cancel", "Stops new drains for good."),
        },
        "job": {
            "list": _lister("jobs"),
            "show": _shower("jobs"),
            "submit": connected(_submit),
            "cancel": connected(_cancel),
        },
        "replica": {
            "add": _giver("replicas", "add", "Lets a replica vote again."),
            "remove": _giver("replicas", "remove", "Takes a replica's vote."),
        },
        "report": connected(_report),
        "ledger": connected(_ledger),
        "command": connected(_command),
        "state": connected(_state),
        "metrics": connected(_metrics),
        "configuration": connected(_configuration),
    }


def _body(reply: Any, part: str | None = None) -> object:
    if isinstance(reply, errors.Failure):
        return reply
    return reply.body if part is None else reply.body[part]


def _split(text: str) -> list[str]:
    return [part.strip() for part in text.split(",") if part.strip()]


def _read_json(file: pathlib.Path) -> Any:
    try:
        if str(file) == "-":
            return json.load(sys.stdin)
        return json.loads(file.read_text(encoding="utf-8"))
    except OSError as error:
        return _bad(f"{file}: {error.strerror}")
    except ValueError as error:
        return _bad(f"{file}: not JSON: {error}")


def _time_ms(text: str) -> int | errors.Failure:
    if text.isdecimal():
        return int(text)
    try:
        moment = dt.datetime.fromisoformat(text)
    except ValueError:
        return _bad(f"{text}: not an ISO 8601 time or milliseconds")
    if moment.tzinfo is None:
        moment = moment.replace(tzinfo=dt.UTC)
    return int(moment.timestamp() * _MS_PER_S)


def _bad(reason: str) -> errors.Failure:
    return errors.Failure(errors.ErrorKind.BAD_REQUEST, reason)
