"""Settings of one instance, read from a YAML file.

All durations are in seconds, all sizes in bytes or tokens. The docstrings of
the models appear in docs/reference/settings.md.
"""

from typing import Annotated

from pydantic import BaseModel, ConfigDict, Field

from mintlanding.reports.models import ReportSettings

Port = Annotated[int, Field(ge=1, le=65535)]
Seconds = Annotated[float, Field(gt=0)]
Secret = Annotated[str, Field(min_length=16)]
Name = Annotated[str, Field(min_length=1, pattern='^[a-z0-9][a-z0-9.-]*$')]


class SettingsModel(BaseModel):
    """Base class of all settings; unknown names are errors."""

    model_config = ConfigDict(extra='forbid', frozen=True)


class StatsdSettings(SettingsModel):
    """The statsd daemon for metrics, which are discarded without one."""

    host: str = '127.0.0.1'
    port: Port = 8125
    prefix: str = 'mintlanding'


class TlsSettings(SettingsModel):
    """Certificate files for mutual TLS between the processes of the system."""

    certificate: str
    private_key: str
    authority: str


class PeerSettings(SettingsModel):
    """How the processes of the system reach and authenticate each other.

    The first secret signs and all verify, so that secrets can be rotated
    without downtime.
    """

    host: str = '127.0.0.1'
    port: Port
    secrets: Annotated[list[Secret], Field(min_length=1)]
    seeds: list[str] = Field(default_factory=list)
    tls: TlsSettings | None = None


class PlatformSettings(SettingsModel):
    """Addresses of the platform's services."""

    key_value_url: str
    instance_list_url: str
    timeout: Seconds = 2
    poll_interval: Seconds = 2


class EntrySettings(SettingsModel):
    """The entry, which serves the callers' HTTP API."""

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
    """The agent, which controls one instance.

    `limits` overrides durations of the token limits by name, as listed in
    docs/topics/limits.md. They must be the same on all instances of a fleet.
    """

    tick_interval: Seconds = 0.5
    heartbeat_interval: Seconds = 1
    steward_lease: Seconds = 6
    drain_timeout: Seconds = 70
    limits: dict[str, Seconds] = Field(default_factory=dict)


class StalenessSettings(SettingsModel):
    """What an instance does while it cannot learn of withdrawn keys.

    Requests with keys are refused when neither the platform nor another member
    has confirmed the configuration for `refuse_after` seconds. Zero never
    refuses them.
    """

    refuse_after: Annotated[float, Field(ge=0)] = 0


class AdminSettings(SettingsModel):
    """The administration API; `operators` maps names to hashed tokens."""

    host: str = '127.0.0.1'
    port: Port
    operators: dict[str, str] = Field(default_factory=dict)


class InstanceSettings(SettingsModel):
    """All settings of one instance; each binary uses its own section."""

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
