"""Configuration objects that operators define, as immutable structs.

Every object has a kind, a name that is unique within its kind, labels, and a
version that increases by one with each change to the object. The configuration
as a whole has a revision that increases by one with each accepted change.
"""

from collections.abc import Mapping
from typing import ClassVar, Union

import msgspec

Labels = dict[str, str]


class ConfigObject(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    omit_defaults=True,
    tag_field='kind',
    gc=False,
):
    """Base class with the fields common to all objects."""

    name: str
    labels: Labels = {}
    version: int = 0

    kind: ClassVar[str]

    @property
    def ref(self) -> tuple[str, str]:
        """Return the kind and the name, which identify the object."""
        return (str(self.__struct_config__.tag), self.name)


class Workspace(
    ConfigObject, frozen=True, kw_only=True, gc=False, tag='workspace'
):
    """A tenant with a token quota.

    `rate` is in tokens per second, `burst` in tokens. `weight` sets the share
    of a worker that the tenant gets when requests queue for it.
    """

    rate: float
    burst: float
    weight: float = 1


class Key(ConfigObject, frozen=True, kw_only=True, gc=False, tag='key'):
    """A caller's API key, named by its public id; stores only a keyed hash."""

    workspace: str
    digest: str
    withdrawn: bool = False


class Adapter(ConfigObject, frozen=True, kw_only=True, gc=False, tag='adapter'):
    """An adapter owned by one workspace; any key may use a `shared` one."""

    workspace: str
    service: str
    default_version: str = ''
    shared: bool = False


class AdapterVersion(
    ConfigObject, frozen=True, kw_only=True, gc=False, tag='adapter-version'
):
    """One version of an adapter, named `adapter@version`."""

    weights: str = ''

    @property
    def adapter(self) -> str:
        """Return the name of the adapter."""
        return self.name.partition('@')[0]

    @property
    def number(self) -> str:
        """Return the part of the name after the `@`."""
        return self.name.partition('@')[2]


class Service(ConfigObject, frozen=True, kw_only=True, gc=False, tag='service'):
    """A group of interchangeable targets.

    `engine` is true for model engines. With `is_open`, requests need no key.
    `repeatable` says whether requests with unsafe methods may be retried.
    """

    engine: bool = False
    base_model: str = ''
    is_open: bool = False
    repeatable: bool = False


class Target(ConfigObject, frozen=True, kw_only=True, gc=False, tag='target'):
    """A worker or a plain back end at `url` in an availability zone.

    A leaving target gets no new requests; requests in progress continue.
    """

    service: str
    zone: str
    url: str
    slots: int = 0
    batch_limit: int = 0
    checks_fencing: bool = False
    leaving: bool = False


class Split(msgspec.Struct, frozen=True, omit_defaults=True, gc=False):
    """A weighted share of a selector's traffic, for versions that `match`."""

    match: str
    weight: float = 1


class Selector(
    ConfigObject, frozen=True, kw_only=True, gc=False, tag='selector'
):
    """A named rule over labels that callers can use instead of an adapter name.

    `match` selects adapter versions, `targets` (optional) selects targets.
    `splits` divide the traffic by weight; with `sticky`, all requests of a
    caller go to the same split.
    """

    workspace: str
    match: str
    targets: str = ''
    splits: tuple[Split, ...] = ()
    sticky: bool = False


class Settings(
    ConfigObject, frozen=True, kw_only=True, gc=False, tag='settings'
):
    """Named fleet-wide settings, such as the rate of weight store permits."""

    values: Mapping[str, float | str | bool] = {}  # noqa: WPS110


AnyObject = Union[
    Workspace,
    Key,
    Adapter,
    AdapterVersion,
    Service,
    Target,
    Selector,
    Settings,
]
Ref = tuple[str, str]

KINDS: dict[str, type[ConfigObject]] = {
    str(each.__struct_config__.tag): each
    for each in (
        Workspace,
        Key,
        Adapter,
        AdapterVersion,
        Service,
        Target,
        Selector,
        Settings,
    )
}


class Change(msgspec.Struct, frozen=True, omit_defaults=True, gc=False):
    """An object put (`body` set) or deleted (`body` unset) at a revision."""

    revision: int
    kind: str
    name: str
    body: AnyObject | None = None

    def __post_init__(self) -> None:
        """Reject an unknown kind and a body of another object."""
        if self.kind not in KINDS:
            raise ValueError(f'unknown kind {self.kind!r}')
        if self.body is not None and self.body.ref != (self.kind, self.name):
            raise ValueError('kind and name differ from those of the body')


class Delta(msgspec.Struct, frozen=True, omit_defaults=True):
    """All changes after `base` up to `revision`; `base` 0 means a snapshot."""

    base: int
    revision: int
    changes: tuple[Change, ...] = ()
