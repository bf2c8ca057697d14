"""Settings of one instance, read from one YAML file and checked at once.

Every field has a documented default unless it must be set. Seconds, bytes and
tokens are the units throughout.
"""

from typing import Annotated

from pydantic import BaseModel, ConfigDict, Field

from mintlanding.reports.models import ReportSettings

Port = Annotated[int, Field(ge=1, le=65535)]
Seconds = Annotated[float, Field(gt=0)]
Secret = Annotated[str, Field(min_length=16)]
Name = Annotated[str, Field(min_length=1, pattern='^[a-z0-9][a-z0-9.-]*$')]


class SettingsModel(BaseModel):
    """Base of all settings: unknown names are mistakes."""

    model_config = ConfigDict(extra='forbid', frozen=True)


class StatsdSettings(SettingsModel):
    """Where metrics go; without this section they are dropped."""

    host: str = '127.0.0.1'
    port: Port = 8125
    prefix: str = 'mintlanding'


class TlsSettings(SettingsModel):
    """Certificates for mutual TLS between the system's own processes."""

    certificate: str
    private_key: str
    authority: str


class PeerSettings(SettingsModel):
    """How the system's own processes reach and know each other.

    The first secret signs, all verify, so that secrets rotate without a stop.
    """

    host: str = '127.0.0.1'
    port: Port
    secrets: Annotated[list[Secret], Field(min_length=1)]
    seeds: list[str] = Field(default_factory=list)
    tls: TlsSettings | None = None


class PlatformSettings(SettingsModel):
    """Where the platform's services are."""

    key_value_url: str
    instance_list_url: str
    timeout: Seconds = 2
    poll_interval: Seconds = 2


class EntrySettings(SettingsModel):
    """The entry: callers' HTTP."""

    host: str = '127.0.0.1'
    port: Port
    max_body_bytes: Annotated[int, Field(gt=0)] = 1_000_000
    max_header_bytes: Annotated[int, Field(gt=0)] = 16_384
    body_timeout: Seconds = 10
    request_timeout: Annotated[float, Field(gt=0, le=590)] = 300
    queue_timeout: Seconds = 20
    silence_timeout: Seconds = 10
    drain_timeout: Seconds = 60
    key_query_names: list[str] = Field(default_factory=lambda: ['api_key'])
    key_cookie_names: list[str] = Field(default_factory=lambda: ['api_key'])


class AgentSettings(SettingsModel):
    """The agent: control of one instance.

    `limits` changes durations of the token limits by name, as
    docs/topics/limits.md lists them; the same at all instances of a fleet.
    """

    tick_interval: Seconds = 0.5
    heartbeat_interval: Seconds = 1
    steward_lease: Seconds = 6
    drain_timeout: Seconds = 70
    limits: dict[str, Seconds] = Field(default_factory=dict)


class StalenessSettings(SettingsModel):
    """What an instance does that cannot learn of withdrawn keys.

    After `refuse_after` seconds without word from the platform or from a
    member that has it, requests with keys are refused. Zero serves on.
    """

    refuse_after: Annotated[float, Field(ge=0)] = 0


class AdminSettings(SettingsModel):
    """The administration API; operators map names to hashed tokens."""

    host: str = '127.0.0.1'
    port: Port
    operators: dict[str, str] = Field(default_factory=dict)


class InstanceSettings(SettingsModel):
    """All settings of one instance; each binary reads its own section."""

    instance: Name
    zone: Name
    region: Name
    key_pepper: Secret
    peers: PeerSettings
    platform: PlatformSettings
    statsd: StatsdSettings | None = None
    staleness: StalenessSettings = Field(default_factory=StalenessSettings)
    entry: EntrySettings | None = None
    agent: AgentSettings = Field(default_factory=AgentSettings)
    admin: AdminSettings | None = None
    reports: ReportSettings = Field(default_factory=ReportSettings)
