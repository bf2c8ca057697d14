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
    """Run commands against an API in this process."""

    def __init__(self, admin, capsys, folder):
        self.admin = admin
        self.capsys = capsys
        self.folder = folder
        self.lost = []
        self.sent = 0

    async def send(self, call, sends):
        for left in reversed(range(sends)):
            self.sent += 1
            headers = {name.lower(): held for name, held in call.headers}
            url = call.url.removeprefix('http://admin')
            answer = await self.admin.call(
                call.method, url, call.body or None, token='', **headers
            )
            if not self.lost:
                return HttpResponse(answer.status, [], answer.text)
            self.lost.pop()
            if not left:
                raise client._outcome_unknown(ResponseLost('gone'))
        raise AssertionError

    def run(self, *words):
        code = self.run_raw(*words)
        shown = self.capsys.readouterr()
        return code, shown.out, shown.err

    def run_raw(self, *words):
        try:
            return run(words)
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
        AdminClient, '_send', lambda self, call, sends: found.send(call, sends)
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
    ('words', 'code', 'shown'),
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
def test_mistakes_have_their_exit_codes(shell, words, code, shown):
    found, out, err = shell.run(*words)
    assert found == code
    assert shown in out + err
    assert 'Traceback' not in err


def test_a_command_with_a_word_too_many_does_nothing(shell):
    shell.run('apply', shell.write(workspace('x')))
    assert shell.run('delete', 'workspace', 'x', 'y')[0] == ExitCode.usage
    assert shell.run('get', 'workspace', 'x')[0] == ExitCode.done


@pytest.mark.parametrize(
    ('text', 'shown'),
    [
        ('', 'no objects'),
        ('a: [', 'not valid YAML'),
        ('just text', 'no object'),
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


def test_lost_answer_of_a_change_is_repeated_under_one_write_id(shell):
    shell.lost = [True]
    code, out, _ = shell.run('apply', shell.write(workspace()))
    assert (code, 'accepted before, at revision 1' in out) == (0, True)
    assert shell.admin.context.storage.directory.revision == 1


def test_large_apply_is_accepted_at_once_and_summed_up(shell):
    many = [workspace(f'w{number}') for number in range(1200)]
    path = shell.folder / 'many.json'
    path.write_text(json.dumps({'objects': many}))
    code, out, _ = shell.run('apply', str(path))
    assert (code, 'and 200 more' in out) == (0, True)
    assert 'accepted at revision 1' in out
    assert shell.sent == 1
    assert 'nothing would change' in shell.run('diff', str(path))[1]


def test_lost_grant_is_not_repeated(shell):
    shell.run('apply', shell.write(workspace()))
    shell.lost = [True]
    code, _, err = shell.run('keys', 'grant', 'north')
    assert (code, 'history' in err) == (ExitCode.outcome_unknown, True)
    assert shell.admin.context.storage.directory.count('key') == 1


def test_missing_and_wrong_tokens(shell, monkeypatch, tmp_path):
    monkeypatch.setenv('MINTLANDING_TOKEN', 'wrong')
    assert shell.run('list', 'keys')[0] == ExitCode.unauthorized
    monkeypatch.delenv('MINTLANDING_TOKEN')
    assert shell.run('list', 'keys')[0] == ExitCode.usage
    path = tmp_path / 'token'
    path.write_text(f'{TOKEN}\n')
    assert shell.run('list', 'keys', '--token-file', str(path))[0] == 0


def test_status_tells_who_is_behind(shell):
    shell.admin.context.fleet = Fleet(DaemonStatus('i1', 'a', 'live', 0, 0.5))
    code, out, _ = shell.run('status')
    assert (code, 'in force everywhere' in out) == (0, True)
    shell.run('apply', shell.write(workspace()))
    code, out, _ = shell.run('status')
    assert (code, 'not yet' in out) == (ExitCode.not_in_force, True)


def test_outage_is_told_with_what_is_shown(shell):
    shell.admin.context.fleet = Fleet(DaemonStatus('i1', 'a', 'live', 1))
    shell.run('apply', shell.write(workspace()))
    shell.admin.service.faults.down = True
    code, out, _ = shell.run('status')
    assert (code, 'newest known' in out) == (ExitCode.not_in_force, True)
    code, out, err = shell.run('list', 'workspaces', '--output', 'json')
    assert (code, 'does not answer' in err) == (0, True)
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
    answer = await connection._send(call, 1)
    await server.stop()
    assert json.loads(answer.body)['total'] == 0
    with pytest.raises(CommandError) as raised:
        await connection._send(call, 3)
    assert raised.value.exit_code is ExitCode.unavailable


@pytest.mark.process
def test_a_reader_that_leaves_is_no_error():
    command = [sys.executable, '-m', 'mintlanding.cli', '--', '--completion']
    process = subprocess.Popen(
        command, stdout=subprocess.PIPE, stderr=subprocess.PIPE
    )
    process.stdout.close()
    assert process.stderr.read() == b''
    process.stderr.close()
    assert process.wait() == 0


def test_interruption_has_its_exit_code(monkeypatch):
    def interrupt(words):
        raise KeyboardInterrupt

    monkeypatch.setattr(cli_main, 'run', interrupt)
    with pytest.raises(SystemExit) as raised:
        cli_main.main()
    assert raised.value.code == ExitCode.interrupted


@pytest.mark.parametrize(
    ('status', 'body'),
    [(200, b'<html>'), (200, b'[]'), (404, b'{}'), (500, b'{"error": "x"}')],
)
def test_answers_of_other_servers_are_named(status, body):
    with pytest.raises(CommandError) as raised:
        client._parse(HttpResponse(status, [], body))
    assert raised.value.exit_code is ExitCode.unavailable
    assert 'not from mintlanding' in str(raised.value)


def test_page_tables_every_exit_code():
    page = DOCS.read_text()
    for code in ExitCode:
        assert f'| {int(code)} | `{code.name}` |' in page
