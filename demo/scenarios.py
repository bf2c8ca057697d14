"""The scenarios of the demo; each returns its checks with figures."""

import asyncio
import statistics
import time
from collections import Counter
from collections.abc import Sequence

from openai import AsyncOpenAI

from demo.clients import Caller, Response
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
    responses = await asyncio.gather(
        *(caller.complete(adapter) for caller, adapter in calls * 3),
    )
    right = [
        response.document.get('model') == f'{adapter}@1'
        for response, (_, adapter) in zip(responses, calls * 3, strict=True)
    ]
    seconds = sorted(response.seconds for response in responses)
    return [
        Row(
            'requests answered by the adapter and version they named',
            all(right),
            f'{sum(right)} of {len(right)}, median {_ms(seconds)}',
        ),
    ]


@SCENARIOS.register('openai')
async def serve_openai(world: World) -> list[Row]:
    """Stream a completion and list models with the OpenAI client."""
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
    tokens = [
        chunk.choices[0].delta.content
        async for chunk in stream
        if chunk.choices and chunk.choices[0].delta.content
    ]
    listed = await client.models.list()
    await client.close()
    return [
        Row(
            'streamed tokens, OpenAI client',
            len(tokens) == 16,
            str(len(tokens)),
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
    """Request adapters that are resident on no worker yet."""
    workspace = world.fleet.size.workspaces[1]
    caller = world.caller(workspace)
    stalls = []
    responses = []
    for adapter in world.adapters(workspace, 6, first=40):
        response = await caller.complete(adapter, tokens=1)
        responses.append(response)
        again = await caller.complete(adapter, tokens=1)
        stalls.append(response.seconds - again.seconds)
    return [
        Row(
            'cold adapters loaded and answered',
            all(response.is_ok for response in responses),
            f'{len(responses)}, median stall {_ms(stalls)}',
        ),
    ]


@SCENARIOS.register('selector')
async def change_selector(world: World) -> list[Row]:
    """Change a selector to a new version under traffic."""
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
    await poll(lambda: _is_answered_by(caller, f'selector:{name}', 'old'), 5)
    stop = asyncio.Event()
    traffic = asyncio.create_task(
        _send_until_stopped(caller, f'selector:{name}', stop)
    )
    await asyncio.sleep(0.5)
    await world.operator.apply([new])
    applied_after = await poll(
        lambda: _are_all_answered_by(world, caller, f'selector:{name}', '@new'),
        IN_FORCE_SECONDS * 2,
    )
    stop.set()
    seen = await traffic
    wrong = [response for _, response in seen if not response.is_ok]
    return [
        Row(
            'a changed selector is in force at every entry',
            applied_after is not None and applied_after <= IN_FORCE_SECONDS,
            _seconds(applied_after),
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
    stream = asyncio.create_task(_read_stream(caller, adapter, 2000))
    await asyncio.sleep(0.5)
    await world.operator.withdraw_key(key_id)
    withdrawn = time.monotonic()
    refused = await poll(
        lambda: _is_refused_everywhere(world, caller, adapter),
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
    """Send several times the rate of one workspace."""
    small = world.fleet.size.workspaces[-1]
    large = world.fleet.size.workspaces[0]
    adapter = world.adapters(small, 1)[0]
    tokens = 100
    started = time.monotonic()
    stop = asyncio.Event()
    other_traffic = asyncio.create_task(
        _send_until_stopped(
            world.caller(large), world.adapters(large, 1)[0], stop
        ),
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
    responses = await asyncio.gather(*tasks)
    stop.set()
    other_responses = [response for _, response in await other_traffic]
    used = sum(
        int(response.document.get('usage', {}).get('total_tokens', 0))
        for response in responses
    )
    bound = SMALL_RATE * elapsed + SMALL_BURST
    refused = [
        response
        for response in responses
        if response.code == ResultCode.rate_exceeded
    ]
    with_retry_after = [
        response for response in refused if 'retry_after' in _error(response)
    ]
    unserved = [response for response in other_responses if not response.is_ok]
    return [
        Row(
            'a flooding tenant stays within rate and burst over all entries',
            used <= bound,
            f'{used} of {bound:.0f} tokens, {len(refused)} refused',
        ),
        Row(
            'each refusal tells when to come back',
            len(with_retry_after) == len(refused) and bool(refused),
            f'{len(with_retry_after)} of {len(refused)}',
        ),
        Row(
            'refusals of another tenant meanwhile',
            not unserved,
            f'{len(unserved)} of {len(other_responses)}',
        ),
    ]


@SCENARIOS.register('orders')
async def repeat_orders(world: World) -> list[Row]:
    """Repeat orders with their idempotency keys through other entries."""
    caller = world.caller(world.fleet.size.workspaces[0])
    ids = [f'order-{number}' for number in range(20)]
    first = await asyncio.gather(*(caller.order(each, each) for each in ids))
    second = await asyncio.gather(*(caller.order(each, each) for each in ids))
    counts: Counter[str] = Counter()
    for name in world.plain():
        recorded = await world.side_ports.records(name)
        for event, count in recorded['counts'].items():
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
            [response.body for response in first]
            == [response.body for response in second],
            f'{sum(response.is_ok for response in second)} of {len(ids)}',
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
        *(
            _send_until_stopped(caller, adapter, stop, stream=True)
            for _ in range(4)
        ),
    )
    await asyncio.sleep(0.5)
    world.excluded.add(leaving.name)
    names = (f'{leaving.name}-entry', f'{leaving.name}-agent')
    codes = await asyncio.gather(*map(world.fleet.stop_one, names))
    world.fleet.start_instance(leaving)
    ready = await poll(
        lambda: _is_ready(world.new_caller(caller.key), leaving),
        20,
    )
    world.excluded.discard(leaving.name)
    await asyncio.sleep(0.5)
    stop.set()
    responses = [response for part in await traffic for _, response in part]
    lost = [response for response in responses if not _is_whole(response)]
    return [
        Row(
            'one instance replaced: requests lost',
            not lost and codes == [0, 0],
            f'{len(lost)} of {len(responses)}, back in {_seconds(ready)}',
        ),
    ]


@SCENARIOS.register('records')
async def read_records(world: World) -> list[Row]:
    """Check the records of the targets themselves."""
    evictions = 0
    keys = 0
    runs = 0
    for name in (*world.engines(), *world.plain()):
        recorded = await world.side_ports.records(name)
        evictions += recorded['counts'].get('evict while running', 0)
        for record in recorded['records']:
            runs += record['event'] in {'run', 'call'}
            headers = set(record.get('headers', ()))
            keys += bool(headers & {'authorization', 'x-api-key', 'cookie'})
    return [
        Row("targets that saw a caller's key", keys == 0, f'{keys} of {runs}'),
        Row('adapters evicted in use', evictions == 0, str(evictions)),
    ]


async def _send_until_stopped(
    caller: Caller,
    model: str,
    stop: asyncio.Event,
    *,
    stream: bool = False,
) -> list[tuple[float, Response]]:
    seen = []
    while not stop.is_set():
        sent = time.monotonic()
        response = await caller.complete(model, stream=stream)
        seen.append((sent, response))
        await asyncio.sleep(0.02)
    return seen


async def _read_stream(
    caller: Caller,
    adapter: str,
    tokens: int,
) -> tuple[float, bytes]:
    tail = b''
    async for piece in caller.open_stream(adapter, tokens):
        tail = (tail + piece)[-2000:]
    return time.monotonic(), tail


async def _is_answered_by(caller: Caller, model: str, version: str) -> bool:
    return version in _model(await caller.complete(model, tokens=1))


async def _are_all_answered_by(
    world: World,
    caller: Caller,
    model: str,
    version: str,
) -> bool:
    responses = await _complete_everywhere(world, caller, model)
    return all(version in _model(response) for response in responses)


async def _is_refused_everywhere(
    world: World, caller: Caller, model: str
) -> bool:
    responses = await _complete_everywhere(world, caller, model)
    return all(
        response.code == ResultCode.key_withdrawn for response in responses
    )


async def _complete_everywhere(
    world: World,
    caller: Caller,
    model: str,
) -> Sequence[Response]:
    return await asyncio.gather(
        *(
            caller.complete(model, tokens=1, instance=each)
            for each in world.fleet.instances
            if each.name not in world.excluded
        ),
    )


async def _is_ok(caller: Caller, model: str) -> bool:
    return (await caller.complete(model, tokens=1)).is_ok


async def _is_ready(caller: Caller, instance: Instance) -> bool:
    response = await caller.call('GET', '/healthz', instance=instance)
    return response.is_ok


def _is_whole(response: Response) -> bool:
    return response.is_ok and response.body.endswith(b'data: [DONE]\n\n')


def _model(response: Response) -> str:
    return str(response.document.get('model', ''))


def _error(response: Response) -> dict[str, object]:
    found = response.document.get('error', {})
    return found if isinstance(found, dict) else {}


def _ms(seconds: Sequence[float]) -> str:
    return f'{statistics.median(seconds) * 1000:.0f} ms'


def _seconds(seconds: float | None) -> str:
    return 'not in time' if seconds is None else f'{seconds:.2f} s'
