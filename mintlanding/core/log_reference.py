"""Generate docs/reference/logs.md from the logger calls in the sources."""

import ast
import sys
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path

_LEVELS = frozenset(('info', 'warning', 'error'))
_ROOT = Path(__file__).parents[1]
_HEAD = """# Log lines

Each process writes one JSON object per line. Every object has `timestamp`
(seconds since the Unix epoch), `level`, `message` (the component, a colon, the
sentence) and, on the platform, `instance`. A process writes at most 200 lines
per second and never waits for a reader; `left_out` in a line of
`mintlanding:logs` is the number of lines that were not written.

`python -m mintlanding.core.log_reference` generates this page from the sources.

| package | level | sentence | fields |
|---|---|---|---|
"""


@dataclass(frozen=True, slots=True, order=True)
class LogCall:
    """A logger call in the sources."""

    package: str
    sentence: str
    level: str
    fields: tuple[str, ...]


def find_calls(root: Path = _ROOT) -> list[LogCall]:
    """Return the distinct logger calls in the sources, sorted."""
    found: set[LogCall] = set()
    for path in root.rglob('*.py'):
        if 'tests' not in path.parts:
            found.update(_calls_in(path, root))
    return sorted(found)


def render(calls: list[LogCall]) -> str:
    """Return the page."""
    rows = [
        f'| {call.package} | {call.level} | {call.sentence} '
        f'| {", ".join(call.fields)} |\n'
        for call in calls
    ]
    return _HEAD + ''.join(rows)


def _calls_in(path: Path, root: Path) -> Iterator[LogCall]:
    package = path.relative_to(root).parts[0]
    tree = ast.parse(path.read_text(encoding='utf-8'))
    for node in ast.walk(tree):
        if not isinstance(node, ast.Call):
            continue
        func = node.func
        if not isinstance(func, ast.Attribute) or func.attr not in _LEVELS:
            continue
        owner = ast.unparse(func.value)
        if 'log' not in owner.lower() or not node.args:
            continue
        yield LogCall(
            package,
            _sentence(node.args[0]),
            func.attr,
            tuple(each.arg for each in node.keywords if each.arg),
        )


def _sentence(node: ast.expr) -> str:
    if isinstance(node, ast.Constant):
        return str(node.value)
    if isinstance(node, ast.IfExp):
        return f'{_sentence(node.body)} / {_sentence(node.orelse)}'
    return '(varies)'


if __name__ == '__main__':
    sys.stdout.write(render(find_calls()))
