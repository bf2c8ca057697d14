"""Write docs/reference/result-codes.md from the table of result codes."""

from mintlanding.core.results import RESULTS

_HEAD = """# Result codes

Every error answer of the callers' API and of the administration API has this
shape:

    {"error": {"code": 301, "type": "rate_exceeded", "message": "...",
               "ran": "not_run", "retry_after": 0.25}}

`ran` tells whether the request ran on a target: `not_run` is said only when it
certainly did not, `unknown` when it may have. `retry_after` is in seconds and
stands where coming back makes sense; the Retry-After header rounds it up.

| code | type | HTTP status | ran | sentence |
|---|---|---|---|---|
"""


def render_result_codes() -> str:
    """Return the page; a test compares it with the committed file."""
    rows = [
        f'| {int(code)} | `{code.name}` | {row.status} | `{row.ran}` '
        f'| {row.sentence} |'
        for code, row in sorted(RESULTS.items())
    ]
    return '{head}{rows}\n'.format(head=_HEAD, rows='\n'.join(rows))


if __name__ == '__main__':
    print(render_result_codes(), end='')  # noqa: WPS421
