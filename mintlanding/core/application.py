"""The application object: lifecycle hooks on a single event loop."""

import asyncio
import signal
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any

from transitions import Machine

from mintlanding.core.exceptions import ConfigurationError
from mintlanding.core.logs import (
    Logger,
    configure_logs,
    describe_exception,
)

# Seconds before a task that failed is started again, and their bound.
_FIRST_RESTART = 0.1
_MAX_RESTART = 2.0
# Seconds for which a task must run to count as sound again.
_SOUND_SECONDS = 5.0
# Failures in succession after which a task counts as failing.
_MAX_FAILURES = 3

Hook = Callable[[], Awaitable[None]]
Work = Callable[[], Coroutine[Any, Any, None]]
ReloadHook = Callable[[Any], Awaitable[None]]

_STATES = ('created', 'starting', 'serving', 'draining', 'stopped')
_TRANSITIONS = (
    {'trigger': 'begin', 'source': 'created', 'dest': 'starting'},
    {'trigger': 'serve', 'source': 'starting', 'dest': 'serving'},
    {
        'trigger': 'drain',
        'source': ('starting', 'serving'),
        'dest': 'draining',
    },
    {'trigger': 'finish', 'source': 'draining', 'dest': 'stopped'},
)


class Application:
    """Run the lifecycle hooks and the background tasks of a process.

    Start and drain hooks run in order of registration, stop hooks in reverse.
    On SIGTERM or SIGINT the drain hooks run before the stop hooks, so that
    accepted requests can finish.
    """

    state: str

    def __init__(self, name: str) -> None:
        """Create an application; `name` is the prefix of its log messages."""
        self.name = name
        self.logger = Logger(name)
        self._on_start: list[Hook] = []
        self._on_drain: list[Hook] = []
        self._on_stop: list[Hook] = []
        self._on_reload: list[ReloadHook] = []
        self._tasks: set[asyncio.Task[Any]] = set()
        # Names of the supervised tasks that fail again and again.
        self._failing: set[str] = set()
        self._vital: set[str] = set()
        self._stop_requested = asyncio.Event()
        self._machine = Machine(
            self,
            states=_STATES,
            transitions=_TRANSITIONS,
            initial='created',
            auto_transitions=False,
        )

    def on_start(self, hook: Hook) -> None:
        """Register a hook to run when the process starts."""
        self._on_start.append(hook)

    def on_drain(self, hook: Hook) -> None:
        """Register a hook to run on a stop, before the stop hooks."""
        self._on_drain.append(hook)

    def on_stop(self, hook: Hook) -> None:
        """Register a hook to run when the process stops."""
        self._on_stop.append(hook)

    def on_reload(self, hook: ReloadHook) -> None:
        """Register a hook to run with the new settings on a reload."""
        self._on_reload.append(hook)

    async def reload(self, cfg: Any) -> None:
        """Run the reload hooks; only secrets can change without a restart."""
        for hook in self._on_reload:
            await hook(cfg)
        self.logger.info('Settings reloaded.')

    def spawn(self, coro: Coroutine[Any, Any, Any]) -> asyncio.Task[Any]:
        """Run a background task, cancelled when the application stops."""
        task = asyncio.get_running_loop().create_task(coro)
        self._tasks.add(task)
        task.add_done_callback(self._forget_task)
        return task

    def supervise(
        self, name: str, work: Work, *, is_vital: bool = False
    ) -> asyncio.Task[Any]:
        """Run a long-running task, started again after an exception.

        Without its vital tasks, a process cannot do its work at all.
        """
        if is_vital:
            self._vital.add(name)
        return self.spawn(self._keep_running(name, work))

    @property
    def is_sound(self) -> bool:
        """Tell whether no vital task fails again and again."""
        return self._vital.isdisjoint(self._failing)

    def request_stop(self) -> None:
        """Request a graceful shutdown."""
        self._stop_requested.set()

    async def start(self) -> None:
        """Run the start hooks."""
        self._transition('begin')
        for hook in self._on_start:
            await hook()
        self._transition('serve')
        self.logger.info('Started.')

    async def stop(self) -> None:
        """Run the drain hooks, cancel the tasks, run the stop hooks."""
        self._transition('drain')
        self.logger.info('Draining.')
        for hook in self._on_drain:
            await hook()
        for task in tuple(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for hook in reversed(self._on_stop):
            await hook()
        self._transition('finish')
        self.logger.info('Stopped.')

    async def run(self) -> None:
        """Serve until a signal or `request_stop` ends the process."""
        loop = asyncio.get_running_loop()
        for signum in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(signum, self.request_stop)
        await self.start()
        await self._stop_requested.wait()
        await self.stop()

    def _transition(self, name: str) -> None:
        """Trigger a lifecycle transition; raise if it is not allowed now."""
        self._machine.events[name].trigger(self)

    async def _keep_running(self, name: str, work: Work) -> None:
        loop = asyncio.get_running_loop()
        failures = 0
        while True:
            sound = loop.call_later(_SOUND_SECONDS, self._failing.discard, name)
            started = loop.time()
            try:
                await work()
            except Exception as exc:
                fields = describe_exception(exc)
            else:
                self._failing.discard(name)
                return
            finally:
                sound.cancel()
            if loop.time() > started + _SOUND_SECONDS:
                failures = 0
            pause = min(_MAX_RESTART, _FIRST_RESTART * 2**failures)
            failures += 1
            if failures >= _MAX_FAILURES:
                self._failing.add(name)
            self.logger.error(
                'Background task failed; starting it again.',
                task=name,
                pause=pause,
                **fields,
            )
            await asyncio.sleep(pause)

    def _forget_task(self, task: asyncio.Task[Any]) -> None:
        self._tasks.discard(task)
        if task.cancelled():
            return
        exc = task.exception()
        if exc is not None:
            self.logger.error(
                'Background task failed.', **describe_exception(exc)
            )


def run_application(
    build: Callable[[], Application],
    read_settings: Callable[[], Any] | None = None,
    configure: Callable[[], None] = configure_logs,
) -> None:
    """Run an application on an asyncio event loop until it stops.

    `configure` sets the destination of the logs. With `read_settings`, SIGHUP
    reloads the settings and runs the reload hooks.
    """

    async def main() -> None:
        application = build()
        if read_settings is not None:
            _reload_on_hangup(application, read_settings)
        await application.run()

    configure()
    asyncio.run(main())


def _reload_on_hangup(
    application: Application,
    read_settings: Callable[[], Any],
) -> None:
    def reload() -> None:
        try:
            cfg = read_settings()
        except ConfigurationError as exc:
            application.logger.error(
                'Settings rejected; the previous ones stay in use.',
                reason=str(exc),
            )
            return
        application.spawn(application.reload(cfg))

    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGHUP, reload)
