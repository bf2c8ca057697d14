"""Sample records in the form that the platform documents."""

import msgspec

CONFIG = {
    'version': 7,
    'routes': [
        {
            'name': 'batch',
            'host': 'ficu95.example',
            'prefix': '/pufi791/',
            'kind': 'stream',
            'timeout_ms': 6000,
            'goal_ms': 1000,
            'priority': 0,
            'service': 'engines',
            'attempts': 2,
            'public': False,
            'sticky': True,
            'can_resume': True,
            'gap_aim_ms': 400,
        },
        {
            'name': 'live',
            'host': 'ficu95.example',
            'prefix': '/lohu930/',
            'kind': 'stream',
            'timeout_ms': 5000,
            'goal_ms': 600,
            'priority': 0,
            'split': [{'service': 'engines', 'weight': 90}],
            'attempts': 1,
            'can_resume': False,
            'gap_aim_ms': 400,
        },
        {
            'name': 'order',
            'host': 'ficu95.example',
            'prefix': '/puxa403/',
            'kind': 'unsafe',
            'timeout_ms': 1500,
            'goal_ms': 300,
            'priority': 2,
            'service': 'orders',
            'attempts': 1,
        },
        {
            'name': 'lookup',
            'host': 'ficu95.example',
            'prefix': '/cufi504/',
            'kind': 'safe',
            'timeout_ms': 1500,
            'goal_ms': 300,
            'priority': 2,
            'service': 'orders',
            'attempts': 2,
        },
    ],
    'services': [
        {
            'name': 'engines',
            'max_conns': 370,
            'engine': {
                'slots': 64,
                'kv_capacity': 247252,
                'models': [
                    {
                        'name': 'daka',
                        'weights_mb': 72700.0,
                        'load_s': 0.3,
                        'adapters': 3000,
                        'adapter_mb': 66.0,
                    },
                ],
                'weights_mb': 75300.0,
                'adapter_slots': 3,
                'loads_per_s': 7.6,
            },
        },
        {'name': 'orders', 'max_conns': 110},
    ],
    'limits': {
        'header_bytes': 16384,
        'body_bytes': 4194304,
        'header_ms': 3000,
        'idle_ms': 15000,
    },
    'tenants': [
        {
            'name': 'hule930',
            'api_keys': ['key-1', 'key-2'],
            'priority': 1,
            'unit': 'tokens',
            'plain_tokens': 200,
            'rate_per_s': 63672,
            'burst': 68874,
        },
    ],
}
ENTRY = {
    'service': 'engines',
    'addr': '10.128.0.9:8080',
    'zone': 'z1',
    'version': 'v1',
    'slots': 64,
    'state': 'ready',
    'cold_ms': 0,
    'stage': 'both',
    'models': [{'name': 'daka', 'version': 1, 'adapters': ['a1@2']}],
    'seq': 4,
    'born': 1700000000000,
}
REPORT = {
    'stage': 'both',
    'models': [{'name': 'daka', 'version': 1, 'adapters': ['a1@2', 'a7@1']}],
    'coming': ['daka/a9@1'],
    'busy': False,
    'seq': 2,
    'queued': 1,
    'inflight': 12,
    'born': 1700000000000,
}
MEMBER = {
    'instance': 'odd',
    'zone': 'z1',
    'host': '127.0.0.1',
    'port': 7600,
    'boot': 'a1b2',
    'link_mbps': 5.0,
    'link_version': 1,
    'path_port': 7601,
}
OWNERSHIP = {'holder': 'odd', 'is_settled': True, 'previous': 'n0'}
QUARANTINE = {
    'position': 1,
    'crashes': 3,
    'last_crash': 1700000000.0,
    'trials': 1,
}
REQUEST_RECORD = {
    'targets': ['e1/1', 'e2/1'],
    'last_crash': 1700000000.0,
    'trials': 1,
    'is_quarantined': True,
}
CALLER_FIELDS = b"""Host: ficu95.example
X-Request-Id: r1
X-Model: daka/a1
X-Token-Counts: 100,10
X-Prompt-Prefix: 5c1e07a2:800,91bd3f06:410
X-Deadline-Ms: 3000
Authorization: Token key-1
Last-Event-Id: 1
Resumes: r0"""
RESPONSE_FIELDS = b"""X-Request-Id: r1
X-Response-Stamp: s1
X-Not-Run: 1
X-Server-Load: 3,0,8
Server-Limit: 12.5
Server-Leaving: 1
Server-Brittle: 3
Retry-After: 0.5
X-Instance-Id: e1
Keep-Alive: timeout=5"""
EVENTS = b"""id: 1
data: x

id: 2
data: y

id: 3
da"""
SETTINGS = """
node = "front-a-1"
role = "instance"
ip = "10.1.0.25"
zone = "mx-centro-a"
port_range = [7600,7615]
seeds = []
a_new_field = 3
[listen]
front = "10.1.0.25:8221"
ready = "10.1.0.25:8224"
control = "10.1.0.25:8229"
[bounds]
contact_ms = 3000
grace_s = 8
retry_ratio = 0.2
lease_ttl_ms = 3000
[platform]
addr = "10.200.1.7:8225"
ttl_min_ms = 1000
"""


def encode(record):
    """Encode a record as the platform stores it."""
    return msgspec.json.encode(record)
