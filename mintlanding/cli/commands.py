"""Commands for operators."""

import sys
import time
from collections.abc import Callable
from typing import Any

from mintlanding.admin.messages import ApplyRequest
from mintlanding.cli.checking import check_file
from mintlanding.cli.client import object_path
from mintlanding.cli.config_checking import check_config_file
from mintlanding.cli.exceptions import ExitCode
from mintlanding.cli.files import read_objects
from mintlanding.cli.groups import KeyCommands, ReportCommands
from mintlanding.cli.load_recording import record_load
from mintlanding.cli.load_replaying import generate_load, replay_load
from mintlanding.cli.output import (
    Result,
    format_cell,
    format_timestamp,
    objects_table,
    table,
)
from mintlanding.cli.parsing import is_set, parse_collection, parse_number
from mintlanding.cli.plans import Options, Plan
from mintlanding.cli.request_timeline import explain_request
from mintlanding.cli.views import (
    STALE_NOTE,
    change_result,
    changes_text,
    edits_text,
    status_result,
)

# Format of results; record-load and generate-load need a file instead.
DEFAULT_OUTPUT = 'table'
POLL_SECONDS = 0.5
PAGE_OBJECTS = 1000


class Commands:
    """Administer mintlanding.

    MINTLANDING_ADMIN or --url sets the address of the administration API,
    MINTLANDING_TOKEN or --token-file the operator's token. --output json
    writes JSON for programs. docs/reference/commands.md lists exit codes.
    """

    def __init__(
        self,
        *,
        output: str = DEFAULT_OUTPUT,
        url: str = '',
        token_file: str = '',
    ) -> None:
        """Set the options of all commands."""
        self._options = Options(output, url, token_file)
        self.keys = KeyCommands(self._options)
        self.report = ReportCommands(self._options)

    def check(self, file: str) -> Plan:
        """Check a file of settings or of objects, without a server.

        Args:
            file: Path of the YAML file, or - for standard input.
        """
        return self._plan(lambda: check_file(file))

    def check_config(
        self,
        file: str,
        *,
        against: str | None = None,
        format: str = '',  # noqa: A002, WPS125
    ) -> Plan:
        """Check a configuration of the platform, without a server.

        Exits 1 if there are only warnings, 2 if there are errors.

        Args:
            file: Path of the JSON file.
            against: Path of another version of the file to compare with.
            format: Format of the result, table or json; overrides --output.
        """
        options = self._options
        if format:
            options = options.with_format(format)
        return Plan(options, lambda: check_config_file(file, against))

    def explain_request(self, request: str, *files: str) -> Plan:
        """Show the log lines of several processes that concern a request.

        Args:
            request: Id of the request.
            files: Paths of files with the standard output of instances.
        """
        return self._plan(lambda: explain_request(request, files))

    def record_load(
        self,
        *logs: str,
        fleet: str = '',
        format: str = 'table',  # noqa: A002, WPS125
    ) -> Plan:
        """Record the load of a run; --output is the file to write.

        Args:
            logs: Paths of files with the standard output of instances.
            fleet: Path of a JSON file that describes the engines.
            format: Format of the result, table or json.
        """
        file = self._options.output
        return Plan(
            self._options.with_format(format),
            lambda: record_load(logs, file, fleet),
        )

    def replay_load(
        self,
        file: str,
        *,
        policies: str = '',
        seed: str = '1',
        instances: str = '0',
        status_ms: str = '250',
        plot: str = '',
        format: str = '',  # noqa: A002, WPS125
    ) -> Plan:
        """Replay a record of load with the product's decisions and others.

        Args:
            file: Path of the record.
            policies: Names separated by commas, all by default.
            seed: Seed of random choices; the same gives the same result.
            instances: Number of instances; 0 for that of the record.
            status_ms: Milliseconds between two statuses of engines.
            plot: Path of a plot to write, such as plot.png.
            format: Format of the result, table or json; overrides --output.
        """
        options = self._options
        if format:
            options = options.with_format(format)
        names = tuple(filter(None, str(policies).split(',')))
        numbers = {
            'seed': parse_number('seed', seed),
            'instances': parse_number('instances', instances),
            'status_ms': parse_number('status-ms', status_ms),
        }
        return Plan(
            options,
            lambda: replay_load(file, names, plot=plot, **numbers),
        )

    def generate_load(
        self,
        pattern: str,
        *,
        seed: str = '1',
        format: str = 'table',  # noqa: A002, WPS125
    ) -> Plan:
        """Generate a small record of load; --output is the file to write.

        Args:
            pattern: Name of the pattern, such as quiet.
            seed: Seed; the same gives the same record.
            format: Format of the result, table or json.
        """
        file = self._options.output
        number = parse_number('seed', seed)
        return Plan(
            self._options.with_format(format),
            lambda: generate_load(pattern, number, file),
        )

    def apply(self, file: str, *, dry_run: bool = False) -> Plan:
        """Put and delete the objects of a file atomically.

        Args:
            file: Path of the YAML file, or - for standard input.
            dry_run: Only show what would change.
        """
        return self._plan(lambda: self._apply(file, is_set(dry_run)))

    def diff(self, file: str) -> Plan:
        """Show what applying a file would change; exits 10 if anything would.

        Args:
            file: Path of the YAML file, or - for standard input.
        """
        return self._plan(lambda: self._diff(file))

    def get(self, kind: str, name: str) -> Plan:
        """Show one object.

        Args:
            kind: Kind of the object, such as adapter.
            name: Name of the object.
        """
        return self._plan(lambda: self._get(kind, name))

    def list(
        self,
        kind: str,
        *,
        selector: str = '',
        workspace: str = '',
    ) -> Plan:
        """List the objects of a kind.

        Args:
            kind: Kind of the objects, such as adapters.
            selector: Label selector, such as 'tier=gold, !retired'.
            workspace: Only objects of this workspace.
        """
        return self._plan(lambda: self._list(kind, selector, workspace))

    def delete(
        self,
        kind: str,
        name: str,
        *,
        version: str = '',
        dry_run: bool = False,
    ) -> Plan:
        """Delete an object; refused while it is in use.

        Args:
            kind: Kind of the object.
            name: Name of the object.
            version: Delete only if the object is still at this version.
            dry_run: Only show what would change.
        """
        expected = parse_number('version', version) if version else None
        return self._plan(
            lambda: self._delete(kind, name, expected, is_set(dry_run)),
        )

    def history(self, *, limit: str = '20') -> Plan:
        """Show past changes with author and time, newest first.

        Args:
            limit: Number of changes to show.
        """
        return self._plan(lambda: self._history(parse_number('limit', limit)))

    def status(self, *, wait: str = '0') -> Plan:
        """Show the revision at each daemon; exits 11 if one is behind.

        Args:
            wait: Seconds to wait for the newest revision to be in force.
        """
        return self._plan(lambda: self._status(parse_number('wait', wait)))

    def explain(self, model: str, *, workspace: str, caller: str = '') -> Plan:
        """Show which rule routes a request, and why others do not apply.

        Args:
            model: Model of the request: adapter, adapter@version or
                selector:name.
            workspace: Workspace of the key.
            caller: Id of the caller, for sticky selectors.
        """
        return self._plan(lambda: self._explain(model, workspace, caller))

    def drain(self, instance: str) -> Plan:
        """Drain an instance; requests in progress end first.

        Args:
            instance: Name of the instance.
        """
        return self._plan(lambda: self._drain(instance))

    def _plan(self, action: Callable[[], Result]) -> Plan:
        return Plan(self._options, action)

    def _apply(self, file: str, dry_run: bool) -> Result:
        body = _encode_request(read_objects(file))
        client = self._options.connect()
        query = _dry_run_query(dry_run)
        found = client.change('POST', '/v1/apply', body, query=query)
        return change_result(found)

    def _diff(self, file: str) -> Result:
        body = _encode_request(read_objects(file))
        found = self._options.connect().change('POST', '/v1/diff', body)
        if not found['changes']:
            return Result(found, 'nothing would change')
        return Result(found, changes_text(found), ExitCode.differs)

    def _get(self, kind: str, name: str) -> Result:
        path = object_path(parse_collection(kind), name)
        found = self._options.connect().get(path)
        rows = [
            [field, format_cell(field_value)]
            for field, field_value in found.items()
        ]
        return Result(found, table(rows, ['field', 'value']))

    def _list(self, kind: str, selector: str, workspace: str) -> Result:
        path = f'/v1/{parse_collection(kind)}'
        found = self._options.connect().pages(
            path,
            selector=selector,
            workspace=workspace,
            limit=PAGE_OBJECTS,
        )
        pages = list(found)
        if any(page['stale'] for page in pages):
            sys.stderr.write(f'note: {STALE_NOTE}\n')
        items = [item for page in pages for item in page['items']]
        return Result(items, objects_table(items))

    def _delete(
        self,
        kind: str,
        name: str,
        version: int | None,
        dry_run: bool,
    ) -> Result:
        path = object_path(parse_collection(kind), name)
        query = _dry_run_query(dry_run)
        client = self._options.connect()
        return change_result(
            client.change('DELETE', path, version=version, query=query)
        )

    def _history(self, limit: int) -> Result:
        found = self._options.connect().get('/v1/history', limit=limit)
        rows = [
            [
                commit['revision'],
                format_timestamp(commit['at']),
                commit['author'],
                edits_text(commit),
            ]
            for commit in found['commits']
        ]
        headers = ['revision', 'when', 'who', 'what']
        return Result(found['commits'], table(rows, headers))

    def _status(self, wait: int) -> Result:
        client = self._options.connect()
        until = time.monotonic() + wait
        found = client.get('/v1/status')
        while not found['in_force'] and time.monotonic() < until:
            time.sleep(POLL_SECONDS)
            found = client.get('/v1/status')
        return status_result(found)

    def _explain(self, model: str, workspace: str, caller: str) -> Result:
        found = self._options.connect().get(
            '/v1/explain',
            model=model,
            workspace=workspace,
            caller=caller,
        )
        rows = [
            ['yes' if rule['taken'] else 'no', rule['rule'], rule['reason']]
            for rule in found['rules']
        ]
        summary = f'{model} in {workspace}: {found["outcome"]}'
        if found['adapter']:
            summary = (
                f'{model} in {workspace} runs on {found["adapter"]}@'
                f'{found["version"]}, service {found["service"]}, '
                f'targets {", ".join(found["targets"]) or "(none)"}'
            )
        rules = table(rows, ['taken', 'rule', 'reason'])
        done = found['outcome'] == 'done'
        exit_code = ExitCode.done if done else ExitCode.refused
        return Result(found, f'{summary}\n\n{rules}', exit_code)

    def _drain(self, instance: str) -> Result:
        client = self._options.connect()
        found = client.change('POST', '/v1/drain', {'instance': instance})
        return Result(found, f'{instance} is {found["state"]}')


def _encode_request(req: ApplyRequest) -> dict[str, Any]:
    body: dict[str, Any] = req.model_dump(
        mode='json',
        exclude_none=True,
    )
    return body


def _dry_run_query(dry_run: bool) -> dict[str, str]:
    return {'dry_run': 'true'} if dry_run else {}
