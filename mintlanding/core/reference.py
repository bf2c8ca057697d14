"""Generate docs/reference/result-codes.md from the table of result codes."""

from mintlanding.core.results import RESULTS

_HEAD = """# Result codes

Every error response of the callers' API and of the administration API has this
format:

    {"error": {"code": 301, "type": "rate_exceeded", "message": "...",
               "ran": "not_run", "retry_after": 0.25}}

`ran` says whether the request ran on a target: `not_run` if it certainly did
not, `unknown` if it may have. `retry_after` is in seconds and is present if a
retry makes sense; the Retry-After header rounds it up.

| code | type | HTTP status | ran | sentence |
|---|---|---|---|---|
"""


def render_result_codes() -> str:
    """Return the page, which a test compares with the committed file."""
    rows = [
        f'| {int(code)} | `{code.name}` | {row.status} | `{row.ran}` '
        f'| {row.sentence} |'
        for code, row in sorted(RESULTS.items())
    ]
    return '{head}{rows}\n'.format(head=_HEAD, rows='\n'.join(rows))


if __name__ == '__main__':
    print(render_result_codes(), end='')  # noqa: WPS421
