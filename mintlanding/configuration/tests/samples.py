"""Small configurations for tests."""

from mintlanding.configuration.directory import Directory
from mintlanding.configuration.models import (
    Adapter,
    AdapterVersion,
    AnyObject,
    Change,
    Delta,
    Selector,
    Service,
    Split,
    Target,
    Workspace,
)


def change_of(revision: int, body: AnyObject) -> Change:
    kind, name = body.ref
    return Change(revision=revision, kind=kind, name=name, body=body)


def deletion(revision: int, kind: str, name: str) -> Change:
    return Change(revision=revision, kind=kind, name=name)


def delta_of(base: int, *bodies: AnyObject) -> Delta:
    changes = tuple(change_of(base + 1, body) for body in bodies)
    return Delta(base=base, revision=base + 1, changes=changes)


def small_objects() -> tuple[AnyObject, ...]:
    return (
        Workspace(name='north', rate=100, burst=300),
        Workspace(name='south', rate=100, burst=300),
        Service(name='planner-models', engine=True, base_model='base'),
        Adapter(
            name='layout',
            workspace='north',
            service='planner-models',
            default_version='1',
            labels={'app': 'layout', 'tier': 'gold'},
        ),
        AdapterVersion(name='layout@1', labels={'channel': 'stable'}),
        AdapterVersion(name='layout@2', labels={'channel': 'canary'}),
        Adapter(name='quotes', workspace='south', service='planner-models'),
        AdapterVersion(name='quotes@7', labels={'app': 'quotes'}),
        Adapter(
            name='common',
            workspace='south',
            service='planner-models',
            shared=True,
            labels={'app': 'common'},
        ),
        AdapterVersion(name='common@1'),
        Selector(
            name='layouts',
            workspace='north',
            match='app=layout',
            splits=(
                Split(match='channel=stable', weight=95),
                Split(match='channel=canary', weight=5),
            ),
            sticky=True,
        ),
        Target(
            name='w1',
            service='planner-models',
            zone='a',
            url='http://127.0.0.1:1',
            labels={'gpu': 'big'},
        ),
        Target(
            name='w2',
            service='planner-models',
            zone='b',
            url='http://127.0.0.1:2',
        ),
    )


def small_directory() -> Directory:
    directory = Directory()
    directory.apply(delta_of(0, *small_objects()))
    return directory


def large_objects(adapters: int, labels: int = 3) -> list[AnyObject]:
    """Return adapters with one version each, owned by five workspaces."""
    found: list[AnyObject] = [
        Workspace(name=f'workspace-{number}', rate=5000, burst=15000)
        for number in range(5)
    ]
    found.append(Service(name='planner-models', engine=True, base_model='b'))
    for number in range(adapters):
        name = f'adapter-{number:05d}'
        held = {
            'tier': ('gold', 'silver', 'free')[number % 3],
            'region': f'region-{number % 40}',
            'store': f'store-{number % 2000}',
        }
        kept = dict(list(held.items())[:labels])
        found.append(
            Adapter(
                name=name,
                workspace=f'workspace-{number % 5}',
                service='planner-models',
                default_version='1',
                labels=kept,
                version=1,
            ),
        )
        found.append(
            AdapterVersion(
                name=f'{name}@1',
                weights=f's3://weights/{name}/1.safetensors',
                labels={'channel': 'stable'},
                version=1,
            ),
        )
    return found
