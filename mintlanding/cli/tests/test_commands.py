import json
import subprocess
import sys
from pathlib import Path

import pytest
import yaml

from mintlanding.admin.ports import DaemonStatus
from mintlanding.admin.tests.conftest import (
    TOKEN,
    Fleet,
    adapter,
    service,
    version,
    workspace,
)
from mintlanding.admin.tests.conftest import AdminClient as Admin
from mintlanding.cli import __main__ as cli_main
from mintlanding.cli import client
from mintlanding.cli.__main__ import run
from mintlanding.cli.client import AdminClient
from mintlanding.cli.exceptions import CommandError, ExitCode
from mintlanding.core.exceptions import ResponseLost
from mintlanding.core.http_client import HttpResponse
from mintlanding.core.http_server import HttpServer

OBJECTS = (workspace(), service(), adapter(labels={'app': 'x'}), version())
DOCS = Path(__file__).parents[3] / 'docs' / 'reference' / 'commands.md'


class Shell:
    """Run commands against an in-process API."""

    def __init__(self, admin, capsys, folder):
        self.admin = admin
        self.capsys = capsys
        self.folder = folder
        self.lost_responses = []
        self.attempts_made = 0

    async def send(self, call, attempts):
        for remaining in reversed(range(attempts)):
            self.attempts_made += 1
            headers = {name.lower(): text for name, text in call.headers}
            url = call.url.removeprefix('http://admin')
            response = await self.admin.call(
                call.method, url, call.body or None, token='', **headers
            )
            if not self.lost_responses:
                return HttpResponse(response.status, [], response.text)
            self.lost_responses.pop()
            if not remaining:
                raise client._outcome_unknown_error(ResponseLost('gone'))
        raise AssertionError

    def run(self, *args):
        code = self.run_raw(*args)
        shown = self.capsys.readouterr()
        return code, shown.out, shown.err

    def run_raw(self, *args):
        try:
            return run(args)
        except SystemExit as exc:
            return exc.code

    def write(self, *documents):
        path = self.folder / 'objects.yaml'
        path.write_text(yaml.safe_dump_all(documents))
        return str(path)


@pytest.fixture
def shell(monkeypatch, capsys, tmp_path):
    monkeypatch.setenv('MINTLANDING_TOKEN', TOKEN)
    monkeypatch.setenv('MINTLANDING_ADMIN', 'http://admin')
    found = Shell(Admin(), capsys, tmp_path)
    monkeypatch.setattr(
        AdminClient,
        '_send',
        lambda self, call, attempts: found.send(call, attempts),
    )
    return found


def test_apply_then_diff_then_list(shell):
    path = shell.write(*OBJECTS)
    code, out, _ = shell.run('diff', path)
    assert code == ExitCode.differs
    assert 'create' in out
    code, out, _ = shell.run('apply', path, '--dry-run')
    assert (code, 'dry run' in out) == (0, True)
    code, out, _ = shell.run('apply', path)
    assert (code, 'accepted at revision 1' in out) == (0, True)
    assert shell.run('diff', path)[0] == ExitCode.done
    code, out, _ = shell.run('list', 'adapters', '--selector', 'app=x')
    assert (code, 'layout' in out) == (0, True)
    code, out, _ = shell.run('list', 'adapter', '--output', 'json')
    assert json.loads(out)[0]['name'] == 'layout'
    code, out, _ = shell.run('get', 'adapter-version', 'layout@1')
    assert (code, 'layout@1' in out) == (0, True)
    code, out, _ = shell.run('history')
    assert (code, 'create adapter layout' in out) == (0, True)
    code, out, _ = shell.run('explain', 'layout', '--workspace', 'north')
    assert (code, 'layout@1' in out) == (0, True)


def test_keys_are_granted_and_withdrawn(shell):
    shell.run('apply', shell.write(workspace()))
    code, out, _ = shell.run('keys', 'grant', 'north', '--labels', 'shop=7')
    text = out.splitlines()[0]
    assert (code, text[:3]) == (0, 'mk_')
    code, out, _ = shell.run('keys', 'withdraw', text)
    assert (code, 'withdrawn' in out) == (0, True)
    code, out, _ = shell.run('list', 'keys', '--output', 'json')
    assert json.loads(out)[0]['withdrawn']
    assert json.loads(out)[0]['labels'] == {'shop': '7'}


@pytest.mark.parametrize(
    ('args', 'code', 'shown'),
    [
        ((), ExitCode.usage, 'usage'),
        (('--help',), ExitCode.done, 'keys withdraw'),
        (('--', '--completion'), ExitCode.done, 'bash completion'),
        (('lsit',), ExitCode.usage, 'lsit'),
        (('keys',), ExitCode.usage, 'not complete'),
        (('get', 'adapter'), ExitCode.usage, 'name'),
        (('get', 'thing', 'x'), ExitCode.usage, 'adapter-versions'),
        (('get', 'workspace', '007'), ExitCode.unknown_object, "'007'"),
        (('get', 'workspace', '1e3'), ExitCode.unknown_object, "'1e3'"),
        (('delete', 'workspace', 'x', 'y'), ExitCode.usage, 'y'),
        (
            ('delete', 'workspace', 'x', '--version=3'),
            ExitCode.conflict,
            'does not exist',
        ),
        (('delete', 'workspace', 'x', '--version=a'), ExitCode.usage, "'a'"),
        (('list', 'keys', '--output', 'xml'), ExitCode.usage, "'xml'"),
        (('list', 'keys', '--selector', 'a='), ExitCode.refused, 'character 3'),
        (('list', 'keys', '--typo', 'x'), ExitCode.usage, 'typo'),
        (('apply', '/none'), ExitCode.usage, 'cannot read'),
        (('keys', 'grant', 'none'), ExitCode.refused, 'there is no workspace'),
        (('keys', 'grant', 'x', '--labels=a'), ExitCode.usage, 'has no value'),
        (('status',), ExitCode.not_offered, 'does not offer'),
        (('drain', 'i1'), ExitCode.not_offered, 'does not offer'),
        (('report', 'burn'), ExitCode.not_offered, 'does not offer'),
    ],
)
def test_failed_commands_have_exit_codes(shell, args, code, shown):
    found, out, err = shell.run(*args)
    assert found == code
    assert shown in out + err
    assert 'Traceback' not in err


def test_command_with_an_extra_argument_changes_nothing(shell):
    shell.run('apply', shell.write(workspace('x')))
    assert shell.run('delete', 'workspace', 'x', 'y')[0] == ExitCode.usage
    assert shell.run('get', 'workspace', 'x')[0] == ExitCode.done


@pytest.mark.parametrize(
    ('text', 'shown'),
    [
        ('', 'no objects'),
        ('a: [', 'not valid YAML'),
        ('just text', 'not an object'),
        ('{kind: workspace, name: x}', 'rate'),
        ('{kind: thing, name: x}', 'kind'),
        ('{objects: [{kind: service, name: "a b"}]}', 'name'),
        (
            '{kind: workspace, name: x, rate: 1, burst: 1, colour: red}',
            'colour',
        ),
        ('{kind: selector, name: x, workspace: w, match: "a="}', 'C006'),
        ('{instance: i1}', 'conf.E010'),
    ],
)
def test_check_reports_mistakes_of_files(shell, text, shown):
    path = shell.folder / 'file.yaml'
    path.write_text(text)
    code, _, err = shell.run('check', str(path))
    assert code == ExitCode.usage
    assert shown in err


def test_check_accepts_objects_without_a_server(shell, monkeypatch):
    monkeypatch.delenv('MINTLANDING_TOKEN')
    code, out, _ = shell.run('check', shell.write(list(OBJECTS)))
    assert (code, '4 object(s)' in out) == (0, True)


def test_change_is_retried_with_its_write_id_when_the_response_is_lost(shell):
    shell.lost_responses = [True]
    code, out, _ = shell.run('apply', shell.write(workspace()))
    assert (code, 'accepted before, at revision 1' in out) == (0, True)
    assert shell.admin.context.storage.directory.revision == 1


def test_large_apply_is_sent_once_and_summarized(shell):
    many = [workspace(f'w{number}') for number in range(1200)]
    path = shell.folder / 'many.json'
    path.write_text(json.dumps({'objects': many}))
    code, out, _ = shell.run('apply', str(path))
    assert (code, 'and 200 more' in out) == (0, True)
    assert 'accepted at revision 1' in out
    assert shell.attempts_made == 1
    assert 'nothing would change' in shell.run('diff', str(path))[1]


def test_grant_is_not_retried_when_the_response_is_lost(shell):
    shell.run('apply', shell.write(workspace()))
    shell.lost_responses = [True]
    code, _, err = shell.run('keys', 'grant', 'north')
    assert (code, 'history' in err) == (ExitCode.outcome_unknown, True)
    assert shell.admin.context.storage.directory.count('key') == 1


def test_missing_and_wrong_tokens_are_refused(shell, monkeypatch, tmp_path):
    monkeypatch.setenv('MINTLANDING_TOKEN', 'wrong')
    assert shell.run('list', 'keys')[0] == ExitCode.unauthorized
    monkeypatch.delenv('MINTLANDING_TOKEN')
    assert shell.run('list', 'keys')[0] == ExitCode.usage
    path = tmp_path / 'token'
    path.write_text(f'{TOKEN}\n')
    assert shell.run('list', 'keys', '--token-file', str(path))[0] == 0


def test_status_fails_while_a_daemon_is_behind(shell):
    shell.admin.context.fleet = Fleet(DaemonStatus('i1', 'a', 'live', 0, 0.5))
    code, out, _ = shell.run('status')
    assert (code, 'in force everywhere' in out) == (0, True)
    shell.run('apply', shell.write(workspace()))
    code, out, _ = shell.run('status')
    assert (code, 'not yet' in out) == (ExitCode.not_in_force, True)


def test_results_are_marked_stale_during_an_outage(shell):
    shell.admin.context.fleet = Fleet(DaemonStatus('i1', 'a', 'live', 1))
    shell.run('apply', shell.write(workspace()))
    shell.admin.service.faults.down = True
    code, out, _ = shell.run('status')
    assert (code, 'newest known' in out) == (ExitCode.not_in_force, True)
    code, out, err = shell.run('list', 'workspaces', '--output', 'json')
    assert (code, 'does not respond' in err) == (0, True)
    assert json.loads(out)[0]['name'] == 'north'
    code, _, err = shell.run('apply', shell.write(workspace('other')))
    assert (code, 'try again later' in err) == (ExitCode.unavailable, True)


async def test_commands_reach_a_real_server():
    admin = Admin()
    server = HttpServer.from_config(admin.app, '127.0.0.1', 0)
    await server.start()
    connection = AdminClient(f'http://{server.address}', TOKEN)
    call = client.HttpRequest(
        'GET',
        f'{connection.url}/v1/workspaces',
        [('Authorization', f'Bearer {TOKEN}')],
    )
    response = await connection._send(call, 1)
    await server.stop()
    assert json.loads(response.body)['total'] == 0
    with pytest.raises(CommandError) as raised:
        await connection._send(call, 3)
    assert raised.value.exit_code is ExitCode.unavailable


@pytest.mark.process
def test_closed_standard_output_is_not_an_error():
    command = [sys.executable, '-m', 'mintlanding.cli', '--', '--completion']
    process = subprocess.Popen(
        command, stdout=subprocess.PIPE, stderr=subprocess.PIPE
    )
    process.stdout.close()
    assert process.stderr.read() == b''
    process.stderr.close()
    assert process.wait() == 0


def test_interrupt_has_an_exit_code(monkeypatch):
    def interrupt(args):
        raise KeyboardInterrupt

    monkeypatch.setattr(cli_main, 'run', interrupt)
    with pytest.raises(SystemExit) as raised:
        cli_main.main()
    assert raised.value.code == ExitCode.interrupted


@pytest.mark.parametrize(
    ('status', 'body'),
    [(200, b'<html>'), (200, b'[]'), (404, b'{}'), (500, b'{"error": "x"}')],
)
def test_responses_of_other_servers_are_rejected(status, body):
    with pytest.raises(CommandError) as raised:
        client._parse(HttpResponse(status, [], body))
    assert raised.value.exit_code is ExitCode.unavailable
    assert 'not from mintlanding' in str(raised.value)


def test_reference_page_lists_every_exit_code():
    page = DOCS.read_text()
    for code in ExitCode:
        assert f'| {int(code)} | `{code.name}` |' in page
