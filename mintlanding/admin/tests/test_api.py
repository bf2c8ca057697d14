import pytest

from mintlanding.admin.authentication import OperatorDirectory
from mintlanding.admin.objects import COLLECTIONS
from mintlanding.admin.ports import DaemonStatus
from mintlanding.admin.progress import InForceProgress
from mintlanding.admin.schemas import SCHEMAS
from mintlanding.admin.tests.conftest import (
    AdminClient,
    Fleet,
    adapter,
    service,
    version,
    workspace,
)
from mintlanding.configuration.models import KINDS
from mintlanding.core.exceptions import ConfigurationError
from mintlanding.core.results import Done, ResultCode


def test_every_kind_can_be_administered():
    assert set(SCHEMAS) == set(KINDS) == set(COLLECTIONS.values())


async def test_object_is_created_read_changed_and_deleted(admin):
    url = '/v1/workspaces/north'
    created = await admin.call('PUT', url, workspace(version=0))
    assert created.status == 200
    assert created.json['changes'][0]['action'] == 'create'
    read = await admin.call('GET', url)
    assert read.headers['etag'] == '"1"'
    assert read.json['rate'] == 5
    changed = await admin.call(
        'PUT', url, workspace(rate=7), if_match=read.headers['etag']
    )
    assert changed.json['changes'][0]['fields'] == [
        {'field': 'rate', 'before': 5.0, 'after': 7.0},
    ]
    deleted = await admin.call('DELETE', url, if_match='"2"')
    assert deleted.json['revision'] == 3
    assert (await admin.call('GET', url)).status == 404


async def test_conflict_returns_the_current_object(admin):
    await admin.apply(workspace())
    await admin.apply(workspace(rate=6))
    url = '/v1/workspaces/north'
    for refused in (
        await admin.call('PUT', url, workspace(rate=7, version=1)),
        await admin.call('PUT', url, workspace(rate=7), if_match='"1"'),
        await admin.call('PUT', f'{url}?dry_run=1', workspace(version=1)),
        await admin.apply(workspace(version=1, rate=8)),
    ):
        assert refused.status == 409
        assert refused.error['type'] == 'conflict'
        assert refused.error['ran'] == 'not_run'
        assert refused.error['current']['rate'] == 6
        assert refused.error['current']['version'] == 2
        assert refused.error['hint']


async def test_apply_is_atomic(admin):
    refused = await admin.apply(workspace(), adapter(), version('other@1'))
    assert refused.status == 422
    places = {each['place'] for each in refused.error['mistakes']}
    assert places == {'adapter/layout.service', 'adapter-version/other@1.name'}
    assert all(each['hint'] for each in refused.error['mistakes'])
    assert (await admin.call('GET', '/v1/workspaces')).json['total'] == 0
    accepted = await admin.apply(
        workspace(), service(), adapter(default_version='1'), version()
    )
    assert accepted.json['revision'] == 1
    assert len(accepted.json['changes']) == 4


async def test_dry_run_and_diff_change_nothing(admin):
    dry = await admin.apply(workspace(), dry_run=True)
    assert dry.json['dry_run']
    assert dry.json['changes'][0]['action'] == 'create'
    shown = await admin.call('POST', '/v1/diff', {'objects': [workspace()]})
    assert shown.json['changes'] == dry.json['changes']
    gone = {'deletions': [{'kind': 'workspace', 'name': 'none'}]}
    for url in ('/v1/diff', '/v1/apply?dry_run=1', '/v1/apply'):
        assert (await admin.call('POST', url, gone)).status == 404
    assert admin.context.storage.directory.revision == 0


async def test_delete_is_refused_while_object_is_in_use(admin):
    await admin.apply(workspace(), service(), adapter())
    refused = await admin.call('DELETE', '/v1/services/planner-models')
    assert refused.status == 409
    assert refused.error['type'] == 'in_use'
    assert 'adapter/layout' in refused.error['mistakes'][0]['message']
    deletions = [
        {'kind': 'adapter', 'name': 'layout', 'version': 1},
        {'kind': 'service', 'name': 'planner-models'},
    ]
    done = await admin.call('POST', '/v1/apply', {'deletions': deletions})
    assert done.json['revision'] == 2


async def test_key_is_shown_once_and_withdrawal_is_permanent(admin):
    await admin.apply(workspace())
    granted = await admin.call('POST', '/v1/keys', {'workspace': 'north'})
    assert granted.status == 201
    text, name = granted.json['key'], granted.json['id']
    url = f'/v1/keys/{name}'
    shown = await admin.call('GET', url)
    assert 'digest' not in shown.json
    listed = await admin.call('GET', '/v1/keys?workspace=north')
    secret = text.rpartition('_')[2]
    assert secret not in (shown.text + listed.text).decode()
    key = admin.context.storage.directory.find_key(name)
    assert admin.context.hasher.verify(text, lambda _: key) == Done(key)
    withdrawn = await admin.call('POST', f'{url}/withdraw')
    assert withdrawn.status == 200
    key = admin.context.storage.directory.find_key(name)
    refused = admin.context.hasher.verify(text, lambda _: key)
    assert refused.code is ResultCode.key_withdrawn
    revived = await admin.call('PUT', url, shown.json | {'version': None})
    assert 'stays withdrawn' in revived.error['message']
    digests = (await admin.call('GET', '/v1/history')).text
    assert key.digest.encode() not in digests


async def test_key_cannot_be_created_by_apply(admin):
    await admin.apply(workspace())
    key = {'kind': 'key', 'name': 'abc', 'workspace': 'north'}
    refused = await admin.apply(key)
    assert refused.status == 404
    assert 'POST /v1/keys' in refused.error['message']


async def test_list_is_paged_and_filtered_by_label(admin):
    await admin.apply(
        *(workspace(f'w{n}', labels={'tier': 'gold'}) for n in range(5)),
        workspace('x', labels={'tier': 'free'}),
    )
    names, cursor = [], ''
    while True:
        url = f'/v1/workspaces?limit=2&selector=tier%3Dgold&cursor={cursor}'
        page = (await admin.call('GET', url)).json
        names += [each['name'] for each in page['items']]
        cursor = page['next_cursor']
        if not cursor:
            break
    assert names == ['w0', 'w1', 'w2', 'w3', 'w4']
    assert page['total'] == 5


async def test_history_lists_authors_and_edits(admin):
    await admin.apply(workspace())
    await admin.call('DELETE', '/v1/workspaces/north')
    commits = (await admin.call('GET', '/v1/history')).json['commits']
    assert [each['author'] for each in commits] == ['ann', 'ann']
    assert commits[0]['edits'][0]['action'] == 'delete'


@pytest.mark.parametrize(
    ('method', 'url', 'body', 'headers', 'status', 'name'),
    [
        ('GET', '/v1/workspaces', None, {'token': ''}, 401, None),
        ('GET', '/v1/workspaces', None, {'token': 'wrong'}, 401, None),
        ('GET', '/v1/nothing', None, {}, 404, 'unknown_route'),
        ('GET', '/v1/workspaces/none', None, {}, 404, 'object_unknown'),
        ('PATCH', '/v1/workspaces', None, {}, 405, 'method_not_allowed'),
        ('POST', '/v1/apply', b'{', {}, 400, 'malformed_json'),
        ('POST', '/v1/apply', b'\xff', {}, 400, 'malformed_json'),
        (
            'POST',
            '/v1/apply',
            b'{}',
            {'content_type': 'text/plain'},
            415,
            'wrong_content_type',
        ),
        ('POST', '/v1/apply', b'[]', {}, 422, 'object_invalid'),
        ('POST', '/v1/apply', {'object': []}, {}, 422, 'object_invalid'),
        (
            'POST',
            '/v1/apply',
            {'objects': [workspace(version=False)]},
            {},
            422,
            'object_invalid',
        ),
        ('PUT', '/v1/workspaces/x', workspace(), {}, 422, 'object_invalid'),
        ('GET', '/v1/workspaces?limit=0', None, {}, 422, 'missing_field'),
        ('GET', '/v1/workspaces?lmit=1', None, {}, 422, 'missing_field'),
        ('GET', '/v1/workspaces?selector=a%3D', None, {}, 422, 'missing_field'),
        ('GET', '/v1/workspaces?cursor=%25', None, {}, 422, 'missing_field'),
        (
            'DELETE',
            '/v1/workspaces/x',
            None,
            {'if_match': 'abc'},
            422,
            'missing_field',
        ),
        (
            'DELETE',
            '/v1/workspaces/x',
            None,
            {'if_match': ''},
            422,
            'missing_field',
        ),
        ('GET', '/v1/status', None, {}, 501, 'function_unavailable'),
        ('GET', '/v1/reports/burn', None, {}, 501, 'function_unavailable'),
        (
            'POST',
            '/v1/drain',
            {'instance': 'i1'},
            {},
            501,
            'function_unavailable',
        ),
    ],
)
async def test_errors_share_one_format(
    admin, method, url, body, headers, status, name
):
    refused = await admin.call(method, url, body, **headers)
    assert refused.status == status
    assert refused.error['type'] == (name or 'operator_unauthorized')
    assert set(refused.error) >= {'code', 'message', 'ran'}
    assert refused.error['ran'] == 'not_run'


async def test_too_large_body_is_refused(admin, monkeypatch):
    monkeypatch.setattr('mintlanding.admin.endpoint.MAX_BODY_BYTES', 10)
    refused = await admin.call('POST', '/v1/apply', b' ' * 11)
    assert refused.status == 413


async def test_reads_are_stale_and_changes_refused_during_an_outage(admin):
    admin.service.faults.down = True
    empty = await admin.call('GET', '/v1/workspaces')
    assert empty.status == 503
    assert empty.headers['retry-after'] == '2'
    admin.service.faults.down = False
    await admin.apply(workspace())
    admin.service.faults.down = True
    page = await admin.call('GET', '/v1/workspaces')
    assert page.json['stale']
    assert page.json['total'] == 1
    refused = await admin.apply(workspace(rate=8))
    assert refused.status == 503
    assert refused.error['ran'] == 'not_run'
    assert refused.error['write_id']
    admin.service.faults.down = False
    assert not (await admin.call('GET', '/v1/workspaces')).json['stale']


async def test_repeated_write_id_takes_effect_once(admin):
    body = {'objects': [workspace()], 'write_id': '00000f4240-0123456789'}
    first = await admin.call('POST', '/v1/apply', body)
    again = await admin.call('POST', '/v1/apply', body)
    assert (first.json['repeated'], again.json['repeated']) == (False, True)
    assert again.json['revision'] == 1
    header = await admin.call(
        'PUT',
        '/v1/workspaces/other',
        workspace('other'),
        write_id='00000f4240-0123456789',
    )
    assert header.json['repeated']


async def test_status_reports_when_a_revision_is_in_force_everywhere():
    fleet = Fleet(
        DaemonStatus('i1', 'a', 'live', 0),
        DaemonStatus('i2', 'b', 'live', 1),
        DaemonStatus('i3', 'b', 'gone', 0),
    )
    admin = AdminClient(fleet)
    await admin.apply(workspace())
    waiting = (await admin.call('GET', '/v1/status')).json
    assert not waiting['in_force']
    behind = [
        each['instance']
        for each in waiting['daemons']
        if not each['is_current']
    ]
    assert behind == ['i1']
    fleet.found = (DaemonStatus('i1', 'a', 'live', 1), *fleet.found[1:])
    admin.clock.advance(1.5)
    done = (await admin.call('GET', '/v1/status')).json
    assert done['in_force']
    assert done['seconds'] == 1.5
    admin.clock.advance(9)
    later = (await admin.call('GET', '/v1/status')).json
    assert later['seconds'] == 1.5


async def test_drain_and_burn_report_with_a_fleet():
    admin = AdminClient(Fleet(DaemonStatus('i1', 'a', 'live', 0)))
    drained = await admin.call('POST', '/v1/drain', {'instance': 'i1'})
    assert (drained.status, drained.json['state']) == (202, 'leaving')
    unknown = await admin.call('POST', '/v1/drain', {'instance': 'i9'})
    assert unknown.status == 404
    report = await admin.call('GET', '/v1/reports/burn')
    assert report.json['report'] == {'objectives': []}


def test_progress_without_daemons_is_not_in_force():
    progress = InForceProgress()
    progress.note_accepted(1, 0)
    assert not progress.observe((), 1)
    assert progress.is_pending


def test_progress_has_no_seconds_for_a_revision_of_another_process():
    progress = InForceProgress()
    progress.note_accepted(1, 0)
    daemon = DaemonStatus('i1', 'a', 'live', 1)
    assert progress.observe((daemon,), 2)
    assert progress.seconds == 2
    progress.note_seen(2)
    assert not progress.observe((daemon,), 3)
    assert progress.observe((DaemonStatus('i1', 'a', 'live', 2),), 4)
    assert progress.seconds is None


async def test_explain_returns_the_applied_rule(admin):
    await admin.apply(
        workspace(), service(), adapter(labels={'app': 'x'}), version()
    )
    selector = {
        'kind': 'selector',
        'name': 'all',
        'workspace': 'north',
        'match': 'app=x',
    }
    await admin.apply(selector)
    url = '/v1/explain?workspace=north&model='
    shown = (await admin.call('GET', f'{url}selector:all')).json
    assert (shown['adapter'], shown['version']) == ('layout', '1')
    assert shown['rules'][0]['taken']
    refused = (await admin.call('GET', f'{url}nothing')).json
    assert refused['outcome'] == 'adapter_unknown'
    assert not refused['rules'][0]['taken']


def test_operator_digests_are_checked():
    with pytest.raises(ConfigurationError, match='ann'):
        OperatorDirectory.from_config({'ann': 'plain text'})
