"""Checks of services and the capacity of their engines."""

from collections import Counter
from collections.abc import Iterator

from mintlanding.config_check.models import Finding
from mintlanding.config_check.registry import CONFIG_CHECKS
from mintlanding.core.checks import Level
from mintlanding.traffic.models import BaseModel, EngineSpec, ServingConfig


@CONFIG_CHECKS.register('service-unused')
def check_use(cfg: ServingConfig) -> Iterator[Finding]:
    """Find services that no route uses."""
    used = {service for route in cfg.routes for service, _ in route.shares}
    for name in cfg.services:
        if name not in used:
            yield Finding(
                f'services.{name}',
                name,
                'no route uses the service',
                'name the service in a route, or remove it',
            )


@CONFIG_CHECKS.register('cold-time-without-rate')
def check_cold_times(cfg: ServingConfig) -> Iterator[Finding]:
    """Find times for which targets are cold that bound nothing."""
    for name, service in cfg.services.items():
        if service.cold_time > 0 and service.cold_rate <= 0:
            yield Finding(
                f'services.{name}.cold_time',
                f'{service.cold_time:g} s',
                'cold targets get any number of requests, as no rate is set',
                'set cold_per_s to what a cold target bears, or remove cold_s',
            )


@CONFIG_CHECKS.register('model-exceeds-memory')
def check_memory(cfg: ServingConfig) -> Iterator[Finding]:
    """Find models larger than their engine; memory 0 means not stated."""
    for place, engine, model in _models(cfg):
        if 0 < engine.memory < model.size:
            yield Finding(
                f'{place}.size',
                _megabytes(model.size),
                f'does not fit into the memory, {_megabytes(engine.memory)}',
                'raise the memory of the engine, or remove the model',
                Level.error,
            )


@CONFIG_CHECKS.register('adapters-without-slot')
def check_adapter_slots(cfg: ServingConfig) -> Iterator[Finding]:
    """Find adapters of which no engine can hold any."""
    for place, engine, model in _models(cfg):
        if model.adapters <= 0 or engine.adapter_limit(model.name) > 0:
            continue
        left = max(0, engine.memory - model.size)
        yield Finding(
            f'{place}.adapters',
            str(model.adapters),
            f'no adapter can be loaded: {engine.adapter_slots} adapter slots, '
            f'{_megabytes(left)} left beside the model, '
            f'{_megabytes(model.adapter_size)} for each adapter',
            'raise the adapter slots or the memory of the engine',
            Level.error,
        )


@CONFIG_CHECKS.register('adapter-slots-exceed-memory')
def check_slot_memory(cfg: ServingConfig) -> Iterator[Finding]:
    """Find adapter slots that cannot be filled for want of memory."""
    for place, engine, model in _models(cfg):
        limit = engine.adapter_limit(model.name)
        if 0 < limit < min(engine.adapter_slots, model.adapters):
            yield Finding(
                f'{place}.adapter_size',
                _megabytes(model.adapter_size),
                f'{limit} adapters fit into the memory beside the model, '
                f'fewer than the {engine.adapter_slots} adapter slots',
                'lower the adapter slots, or raise the memory of the engine',
            )


@CONFIG_CHECKS.register('model-repeated')
def check_model_names(cfg: ServingConfig) -> Iterator[Finding]:
    """Find models listed twice, of which only the first has an effect."""
    for place, engine in _engines(cfg):
        counts = Counter(model.name for model in engine.models)
        for name, count in counts.items():
            if count > 1:
                yield Finding(
                    f'{place}.models.{name}',
                    str(count),
                    f'the model is listed {count} times; the first is used',
                    'remove all entries of the model but one',
                )


@CONFIG_CHECKS.register('tokens-below-batch')
def check_token_capacity(cfg: ServingConfig) -> Iterator[Finding]:
    """Find engines whose tokens do not suffice for a full batch.

    Each running request holds at least one token. Without tokens, an engine
    refuses every request that declares any.
    """
    for place, engine in _engines(cfg):
        if engine.token_capacity >= engine.batch_limit:
            continue
        yield Finding(
            f'{place}.token_capacity',
            str(engine.token_capacity),
            f'below the batch limit, {engine.batch_limit} requests',
            'raise the token capacity, or lower the batch limit',
            Level.warning if engine.token_capacity else Level.error,
        )


def _engines(cfg: ServingConfig) -> Iterator[tuple[str, EngineSpec]]:
    for name, service in cfg.services.items():
        if service.engine is not None:
            yield f'services.{name}.engine', service.engine


def _models(
    cfg: ServingConfig,
) -> Iterator[tuple[str, EngineSpec, BaseModel]]:
    for place, engine in _engines(cfg):
        for model in engine.models:
            yield f'{place}.models.{model.name}', engine, model


def _megabytes(size: float) -> str:
    return f'{size:g} MB'
