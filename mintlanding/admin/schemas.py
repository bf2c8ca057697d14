"""Validated models of configuration objects in the administration API."""

from typing import Annotated, Any, Literal, Self

import msgspec
from pydantic import (
    BaseModel,
    ConfigDict,
    Field,
    FiniteFloat,
    StringConstraints,
)

from mintlanding.configuration.models import AnyObject, ConfigObject, Key

MAX_APPLY_OBJECTS = 50_000

Name = Annotated[
    str,
    StringConstraints(pattern=r'^[A-Za-z0-9][A-Za-z0-9._-]{0,127}$'),
]
VersionName = Annotated[
    str,
    StringConstraints(
        pattern=r'^[A-Za-z0-9][A-Za-z0-9._-]{0,127}@[A-Za-z0-9._-]{1,64}$',
    ),
]
OptionalName = Annotated[
    str,
    StringConstraints(pattern='^[A-Za-z0-9._-]{0,64}$'),
]
AnyName = Annotated[
    str,
    StringConstraints(pattern='^[A-Za-z0-9][A-Za-z0-9._@-]{0,192}$'),
]
LabelText = Annotated[
    str,
    StringConstraints(pattern='^[A-Za-z0-9][A-Za-z0-9_./:-]{0,127}$'),
]
Match = Annotated[str, StringConstraints(max_length=2048)]
Text = Annotated[str, StringConstraints(max_length=1024)]
Positive = Annotated[FiniteFloat, Field(gt=0)]
Count = Annotated[int, Field(ge=0, le=1_000_000)]
VersionCount = Annotated[int, Field(ge=0, le=2**53)]


class Schema(BaseModel):
    """Base class of requests and responses; unknown fields are errors."""

    model_config = ConfigDict(extra='forbid', frozen=True)


class ObjectSchema(Schema):
    """Fields of every object.

    In a request, `version` is the version that the client read: 0 for a new
    object, null to replace any version. In a response it is the current one.
    """

    name: Name
    labels: Annotated[dict[LabelText, LabelText], Field(max_length=32)] = {}
    version: VersionCount | None = None

    def to_struct(self) -> AnyObject:
        """Return the internal struct of the object, without a version."""
        fields = self.model_dump(exclude={'version'})
        body: AnyObject = msgspec.convert(fields, AnyObject)
        return body

    @classmethod
    def from_struct(cls, body: ConfigObject) -> Self:
        """Build the schema from the internal struct of an object."""
        fields: dict[str, Any] = msgspec.to_builtins(body)
        return cls.model_validate({'version': body.version, **fields})


class WorkspaceSchema(ObjectSchema):
    """A tenant and its quota.

    `rate` is in tokens per second, `burst` in tokens.
    """

    kind: Literal['workspace'] = 'workspace'
    rate: Positive
    burst: Positive
    weight: Positive = 1


class KeySchema(ObjectSchema):
    """A caller's key, named by its public id; the secret is not included."""

    kind: Literal['key'] = 'key'
    workspace: Name
    withdrawn: bool = False

    @classmethod
    def from_struct(cls, body: ConfigObject) -> Self:
        """Build the schema without the hash of the secret."""
        fields: dict[str, Any] = msgspec.to_builtins(body)
        fields.pop('digest', '')
        return cls.model_validate({'version': body.version, **fields})

    def with_digest(self, digest: str) -> Key:
        """Return the internal struct of the key with the stored hash."""
        return Key(
            name=self.name,
            workspace=self.workspace,
            labels=self.labels,
            withdrawn=self.withdrawn,
            digest=digest,
        )


class AdapterSchema(ObjectSchema):
    """An adapter; a shared one may be used by all workspaces."""

    kind: Literal['adapter'] = 'adapter'
    workspace: Name
    service: Name
    default_version: OptionalName = ''
    shared: bool = False


class AdapterVersionSchema(ObjectSchema):
    """One version of an adapter, named `adapter@version`."""

    kind: Literal['adapter-version'] = 'adapter-version'
    name: VersionName
    weights: Text = ''


class ServiceSchema(ObjectSchema):
    """A group of targets behind one route."""

    kind: Literal['service'] = 'service'
    engine: bool = False
    base_model: Text = ''
    is_open: bool = False
    repeatable: bool = False


class TargetSchema(ObjectSchema):
    """A worker or plain back end.

    With `checks_fencing`, it rejects orders with an old fencing token.
    """

    kind: Literal['target'] = 'target'
    service: Name
    zone: Name
    url: Text
    slots: Count = 0
    batch_limit: Count = 0
    checks_fencing: bool = False
    leaving: bool = False


class SplitSchema(Schema):
    """A fraction of a selector's traffic, by weight."""

    match: Match
    weight: Annotated[FiniteFloat, Field(ge=0)] = 1


class SelectorSchema(ObjectSchema):
    """A rule over adapter labels; `splits` divide its traffic by weight."""

    kind: Literal['selector'] = 'selector'
    workspace: Name
    match: Match
    targets: Match = ''
    splits: Annotated[tuple[SplitSchema, ...], Field(max_length=64)] = ()
    sticky: bool = False


class SettingsSchema(ObjectSchema):
    """A named group of fleet-wide settings."""

    kind: Literal['settings'] = 'settings'
    values: Annotated[  # noqa: WPS110
        dict[LabelText, FiniteFloat | bool | Text],
        Field(max_length=256),
    ] = {}


AnySchema = Annotated[
    WorkspaceSchema
    | KeySchema
    | AdapterSchema
    | AdapterVersionSchema
    | ServiceSchema
    | TargetSchema
    | SelectorSchema
    | SettingsSchema,
    Field(discriminator='kind'),
]

SCHEMAS: dict[str, type[ObjectSchema]] = {
    'workspace': WorkspaceSchema,
    'key': KeySchema,
    'adapter': AdapterSchema,
    'adapter-version': AdapterVersionSchema,
    'service': ServiceSchema,
    'target': TargetSchema,
    'selector': SelectorSchema,
    'settings': SettingsSchema,
}
KIND_PATTERN = '^({})$'.format('|'.join(SCHEMAS))
