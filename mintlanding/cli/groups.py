"""Command groups: keys and reports."""

from mintlanding.cli.client import object_path
from mintlanding.cli.output import Result
from mintlanding.cli.parsing import parse_labels
from mintlanding.cli.plans import Options, Plan
from mintlanding.reports.burn import BurnReport
from mintlanding.reports.rendering import RENDERERS


class KeyCommands:
    """Grant and withdraw callers' keys."""

    def __init__(self, options: Options) -> None:
        """Share the options."""
        self._options = options

    def grant(self, workspace: str, *, labels: str = '') -> Plan:
        """Grant a new key to a workspace; it is shown only once.

        Args:
            workspace: Name of the workspace.
            labels: Labels of the key, as a=b,c=d.
        """
        return Plan(self._options, lambda: self._grant(workspace, labels))

    def withdraw(self, key_id: str) -> Plan:
        """Withdraw a key permanently; it stops working within seconds.

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

    def burn(self, *, page: bool = False) -> Plan:
        """Show the report on error budget burn; --page writes it as HTML."""
        return Plan(self._options, lambda: self._burn(page))

    def _burn(self, page: bool) -> Result:
        found = self._options.connect().get('/v1/reports/burn')
        report = BurnReport.from_document(found['report'])
        render = RENDERERS.get('html' if page else 'table')
        return Result(found['report'], render(report))
