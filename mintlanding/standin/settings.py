"""Settings of a stand-in, from command line options or a YAML file."""

from typing import Literal

from pydantic import BaseModel, ConfigDict

Kind = Literal['keyvalue', 'instances', 'weight-store', 'engine', 'plain']


class StandinSettings(BaseModel):
    """Addresses of a stand-in and the behaviour of its service.

    Times are in seconds. The fields from `name` on concern engines and the
    weight store. `instances` is the initial instance list, and `journal` a
    file to which each record is appended.
    """

    model_config = ConfigDict(extra='forbid', frozen=True)

    kind: Kind
    host: str = '127.0.0.1'
    port: int = 0
    side_port: int = 0
    journal: str = ''
    instances: tuple[dict[str, str], ...] = ()
    name: str = 'engine'
    slots: int = 8
    batch_limit: int = 16
    step_seconds: float = 0.02
    load_seconds: float = 0.25
    loads_per_second: float = 8
    loads_at_once: int = 3
    full_speed_loads: int = 24
    store_url: str = ''
    checks_fencing: bool = True
    ping_seconds: float = 0.5
    kept_streams: int = 4096
