"""What the demo shows, each scenario with its figures."""

import asyncio
import statistics
import time
from collections import Counter
from collections.abc import Sequence

from openai import AsyncOpenAI

from demo.clients import Caller, Reply
from demo.fleet import Instance
from demo.seed import SMALL_BURST, SMALL_RATE
from demo.table import SCENARIOS, Row
from demo.world import World, poll
from mintlanding.configuration.models import AdapterVersion, Selector
from mintlanding.core.results import ResultCode

IN_FORCE_SECONDS = 5.0
FLOOD_SECONDS = 6.0
FLOOD_FACTOR = 5


@SCENARIOS.register('ordinary')
async def serve_ordinary(world: World) -> list[Row]:
    """Serve requests of all workspaces through all entries."""
    calls = [
        (world.caller(workspace), adapter)
        for workspace in world.fleet.size.workspaces
        for adapter in world.adapters(workspace, 4)
    ]
    replies = await asyncio.gather(
        *(caller.complete(adapter) for caller, adapter in calls * 3),
    )
    right = [
        reply.document.get('model') == f'{adapter}@1'
        for reply, (_, adapter) in zip(replies, calls * 3, strict=True)
    ]
    seconds = sorted(reply.seconds for reply in replies)
    return [
        Row(
            'requests answered by the adapter and version they named',
            all(right),
            f'{sum(right)} of {len(right)}, median {_ms(seconds)}',
        ),
    ]


@SCENARIOS.register('openai')
async def serve_openai(world: World) -> list[Row]:
    """Stream through an ordinary OpenAI client."""
    workspace = world.fleet.size.workspaces[0]
    instance = world.fleet.instances[-1]
    client = AsyncOpenAI(
        base_url=f'{instance.url}/v1',
        api_key=world.keys[workspace],
        max_retries=0,
    )
    model = world.adapters(workspace, 1)[0]
    stream = await client.chat.completions.create(
        model=model,
        messages=[{'role': 'user', 'content': 'lay the tiles'}],
        max_tokens=16,
        stream=True,
    )
    pieces = [
        chunk.choices[0].delta.content
        async for chunk in stream
        if chunk.choices and chunk.choices[0].delta.content
    ]
    listed = await client.models.list()
    await client.close()
    return [
        Row(
            'streamed tokens, OpenAI client',
            len(pieces) == 16,
            str(len(pieces)),
        ),
        Row(
            'models listed for the key',
            bool(listed.data)
            and all(each.owned_by == workspace for each in listed.data),
            str(len(listed.data)),
        ),
    ]


@SCENARIOS.register('cold')
async def load_on_demand(world: World) -> list[Row]:
    """Ask for adapters that no worker holds yet."""
    workspace = world.fleet.size.workspaces[1]
    caller = world.caller(workspace)
    stalls = []
    replies = []
    for adapter in world.adapters(workspace, 6, first=40):
        reply = await caller.complete(adapter, tokens=1)
        replies.append(reply)
        again = await caller.complete(adapter, tokens=1)
        stalls.append(reply.seconds - again.seconds)
    return [
        Row(
            'cold adapters loaded and answered',
            all(reply.is_ok for reply in replies),
            f'{len(replies)}, median stall {_ms(stalls)}',
        ),
    ]


@SCENARIOS.register('selector')
async def change_selector(world: World) -> list[Row]:
    """Move a selector to a new version while traffic runs."""
    workspace = world.fleet.size.workspaces[0]
    adapter = world.adapters(workspace, 1)[0]
    name = 'canary'
    old = Selector(name=name, workspace=workspace, match='line=old')
    new = Selector(name=name, workspace=workspace, match='line=new')
    versions = [
        AdapterVersion(name=f'{adapter}@old', labels={'line': 'old'}),
        AdapterVersion(name=f'{adapter}@new', labels={'line': 'new'}),
    ]
    await world.operator.apply([*versions, old])
    caller = world.caller(workspace)
    await poll(lambda: _answers(caller, f'selector:{name}', 'old'), 5)
    stop = asyncio.Event()
    traffic = asyncio.create_task(_traffic(caller, f'selector:{name}', stop))
    await asyncio.sleep(0.5)
    await world.operator.apply([new])
    everywhere = await poll(
        lambda: _all_answer(world, caller, f'selector:{name}', '@new'),
        IN_FORCE_SECONDS * 2,
    )
    stop.set()
    seen = await traffic
    wrong = [reply for _, reply in seen if not reply.is_ok]
    return [
        Row(
            'a changed selector is in force at every entry',
            everywhere is not None and everywhere <= IN_FORCE_SECONDS,
            _seconds(everywhere),
        ),
        Row(
            'requests lost meanwhile',
            not wrong,
            f'{len(wrong)} of {len(seen)}',
        ),
    ]


@SCENARIOS.register('withdrawal')
async def withdraw_key(world: World) -> list[Row]:
    """Withdraw a key with a stream open."""
    workspace = world.fleet.size.workspaces[0]
    key_id, text = await world.operator.grant_key(workspace)
    caller = world.new_caller(text)
    adapter = world.adapters(workspace, 1)[0]
    await poll(lambda: _is_ok(caller, adapter), IN_FORCE_SECONDS)
    stream = asyncio.create_task(_drain_stream(caller, adapter, 2000))
    await asyncio.sleep(0.5)
    await world.operator.withdraw_key(key_id)
    withdrawn = time.monotonic()
    refused = await poll(
        lambda: _all_refuse(world, caller, adapter),
        IN_FORCE_SECONDS * 2,
    )
    ended_at, tail = await stream
    return [
        Row(
            'a withdrawn key is refused at every entry',
            refused is not None and refused <= IN_FORCE_SECONDS,
            _seconds(refused),
        ),
        Row(
            'its open stream is ended',
            ended_at - withdrawn <= IN_FORCE_SECONDS
            and f'"code":{int(ResultCode.key_withdrawn)}'.encode() in tail,
            f'{ended_at - withdrawn:.2f} s',
        ),
    ]


@SCENARIOS.register('flood')
async def flood(world: World) -> list[Row]:
    """Let one tenant send several times its rate."""
    small = world.fleet.size.workspaces[-1]
    large = world.fleet.size.workspaces[0]
    adapter = world.adapters(small, 1)[0]
    tokens = 100
    started = time.monotonic()
    stop = asyncio.Event()
    quiet = asyncio.create_task(
        _traffic(world.caller(large), world.adapters(large, 1)[0], stop),
    )
    pause = tokens / (SMALL_RATE * FLOOD_FACTOR)
    tasks = []
    while time.monotonic() - started < FLOOD_SECONDS:
        caller = world.caller(small)
        tasks.append(
            asyncio.create_task(caller.complete(adapter, tokens=tokens)),
        )
        await asyncio.sleep(pause)
    elapsed = time.monotonic() - started
    replies = await asyncio.gather(*tasks)
    stop.set()
    others = [reply for _, reply in await quiet]
    used = sum(
        int(reply.document.get('usage', {}).get('total_tokens', 0))
        for reply in replies
    )
    bound = SMALL_RATE * elapsed + SMALL_BURST
    refused = [
        reply for reply in replies if reply.code == ResultCode.rate_exceeded
    ]
    told = [reply for reply in refused if 'retry_after' in _error(reply)]
    unserved = [reply for reply in others if not reply.is_ok]
    return [
        Row(
            'a flooding tenant stays within rate and burst over all entries',
            used <= bound,
            f'{used} of {bound:.0f} tokens, {len(refused)} refused',
        ),
        Row(
            'each refusal tells when to come back',
            len(told) == len(refused) and bool(refused),
            f'{len(told)} of {len(refused)}',
        ),
        Row(
            'refusals of another tenant meanwhile',
            not unserved,
            f'{len(unserved)} of {len(others)}',
        ),
    ]


@SCENARIOS.register('orders')
async def repeat_orders(world: World) -> list[Row]:
    """Repeat orders under their idempotency keys through other entries."""
    caller = world.caller(world.fleet.size.workspaces[0])
    ids = [f'order-{number}' for number in range(20)]
    first = await asyncio.gather(*(caller.order(each, each) for each in ids))
    second = await asyncio.gather(*(caller.order(each, each) for each in ids))
    counts: Counter[str] = Counter()
    for name in world.plain():
        found = await world.side.records(name)
        for event, count in found['counts'].items():
            counts[event] += count
    runs = [counts[f'order {each}'] for each in ids]
    return [
        Row(
            'orders recorded once, though each came twice',
            set(runs) == {1},
            f'{sum(runs)} runs of {len(ids)} orders',
        ),
        Row(
            'repeated orders got the first answer',
            [reply.body for reply in first] == [reply.body for reply in second],
            f'{sum(reply.is_ok for reply in second)} of {len(ids)}',
        ),
    ]


@SCENARIOS.register('replacement')
async def replace_entry(world: World) -> list[Row]:
    """Replace one instance under traffic."""
    workspace = world.fleet.size.workspaces[0]
    leaving = world.fleet.instances[1]
    caller = world.caller(workspace)
    adapter = world.adapters(workspace, 1)[0]
    stop = asyncio.Event()
    traffic = asyncio.gather(
        *(_traffic(caller, adapter, stop, stream=True) for _ in range(4)),
    )
    await asyncio.sleep(0.5)
    world.away.add(leaving.name)
    names = (f'{leaving.name}-entry', f'{leaving.name}-agent')
    codes = await asyncio.gather(*map(world.fleet.stop_one, names))
    world.fleet.start_instance(leaving)
    ready = await poll(
        lambda: _is_ready(world.new_caller(caller.key), leaving),
        20,
    )
    world.away.discard(leaving.name)
    await asyncio.sleep(0.5)
    stop.set()
    replies = [reply for part in await traffic for _, reply in part]
    lost = [reply for reply in replies if not _is_whole(reply)]
    return [
        Row(
            'one instance replaced: requests lost',
            not lost and codes == [0, 0],
            f'{len(lost)} of {len(replies)}, back in {_seconds(ready)}',
        ),
    ]


@SCENARIOS.register('records')
async def read_records(world: World) -> list[Row]:
    """Ask the targets themselves what they have seen."""
    evictions = 0
    keys = 0
    runs = 0
    for name in (*world.engines(), *world.plain()):
        found = await world.side.records(name)
        evictions += found['counts'].get('evict while running', 0)
        for record in found['records']:
            runs += record['event'] in {'run', 'call'}
            headers = set(record.get('headers', ()))
            keys += bool(headers & {'authorization', 'x-api-key', 'cookie'})
    return [
        Row("targets that saw a caller's key", keys == 0, f'{keys} of {runs}'),
        Row('adapters evicted in use', evictions == 0, str(evictions)),
    ]


async def _traffic(
    caller: Caller,
    model: str,
    stop: asyncio.Event,
    *,
    stream: bool = False,
) -> list[tuple[float, Reply]]:
    seen = []
    while not stop.is_set():
        sent = time.monotonic()
        reply = await caller.complete(model, stream=stream)
        seen.append((sent, reply))
        await asyncio.sleep(0.02)
    return seen


async def _drain_stream(
    caller: Caller,
    adapter: str,
    tokens: int,
) -> tuple[float, bytes]:
    tail = b''
    async for piece in caller.open_stream(adapter, tokens):
        tail = (tail + piece)[-2000:]
    return time.monotonic(), tail


async def _answers(caller: Caller, model: str, version: str) -> bool:
    return version in _model(await caller.complete(model, tokens=1))


async def _all_answer(
    world: World,
    caller: Caller,
    model: str,
    version: str,
) -> bool:
    replies = await _ask_all(world, caller, model)
    return all(version in _model(reply) for reply in replies)


async def _all_refuse(world: World, caller: Caller, model: str) -> bool:
    replies = await _ask_all(world, caller, model)
    return all(reply.code == ResultCode.key_withdrawn for reply in replies)


async def _ask_all(
    world: World,
    caller: Caller,
    model: str,
) -> Sequence[Reply]:
    return await asyncio.gather(
        *(
            caller.complete(model, tokens=1, instance=each)
            for each in world.fleet.instances
            if each.name not in world.away
        ),
    )


async def _is_ok(caller: Caller, model: str) -> bool:
    return (await caller.complete(model, tokens=1)).is_ok


async def _is_ready(caller: Caller, instance: Instance) -> bool:
    reply = await caller.call('GET', '/healthz', instance=instance)
    return reply.is_ok


def _is_whole(reply: Reply) -> bool:
    return reply.is_ok and reply.body.endswith(b'data: [DONE]\n\n')


def _model(reply: Reply) -> str:
    return str(reply.document.get('model', ''))


def _error(reply: Reply) -> dict[str, object]:
    found = reply.document.get('error', {})
    return found if isinstance(found, dict) else {}


def _ms(seconds: Sequence[float]) -> str:
    return f'{statistics.median(seconds) * 1000:.0f} ms'


def _seconds(seconds: float | None) -> str:
    return 'not in time' if seconds is None else f'{seconds:.2f} s'
