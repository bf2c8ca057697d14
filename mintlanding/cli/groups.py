"""Groups of commands: keys and reports."""

from mintlanding.cli.client import object_path
from mintlanding.cli.output import Result, table
from mintlanding.cli.parsing import parse_labels
from mintlanding.cli.plans import Options, Plan


class KeyCommands:
    """Grant and withdraw callers' keys."""

    def __init__(self, options: Options) -> None:
        """Share the options."""
        self._options = options

    def grant(self, workspace: str, *, labels: str = '') -> Plan:
        """Grant a new key to a workspace; it is shown this once.

        Args:
            workspace: Name of the workspace.
            labels: Labels of the key, as a=b,c=d.
        """
        return Plan(self._options, lambda: self._grant(workspace, labels))

    def withdraw(self, key_id: str) -> Plan:
        """Withdraw a key for good; it stops working within seconds.

        Args:
            key_id: Id of the key, the part between the underscores.
        """
        return Plan(self._options, lambda: self._withdraw(key_id))

    def _grant(self, workspace: str, labels: str) -> Result:
        body = {'workspace': workspace, 'labels': parse_labels(labels)}
        client = self._options.connect()
        found = client.call_once('POST', '/v1/keys', body)
        text = '\n'.join(
            (
                found['key'],
                f'id {found["id"]}, workspace {found["workspace"]}, '
                f'revision {found["revision"]}; keep it, it is shown once',
            ),
        )
        return Result(found, text)

    def _withdraw(self, key_id: str) -> Result:
        public_id = key_id.split('_')[1] if '_' in key_id else key_id
        path = f'{object_path("keys", public_id)}/withdraw'
        found = self._options.connect().change('POST', path)
        text = f'key {public_id} withdrawn at revision {found["revision"]}'
        return Result(found, text)


class ReportCommands:
    """Reports on the fleet."""

    def __init__(self, options: Options) -> None:
        """Share the options."""
        self._options = options

    def burn(self) -> Plan:
        """Show the report on service-level burn."""
        return Plan(self._options, self._burn)

    def _burn(self) -> Result:
        found = self._options.connect().get('/v1/reports/burn')
        report = found['report']
        rows = [[name, str(held)] for name, held in report.items()]
        return Result(report, table(rows, ['part', 'report']))
