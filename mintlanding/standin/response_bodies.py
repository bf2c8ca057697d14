"""Response bodies of the engine stand-in."""

from typing import Any

import msgspec
from starlette.responses import Response

from mintlanding.standin.base import reply_json
from mintlanding.standin.engine_model import Run
from mintlanding.standin.faults import Faults

GARBAGE = b'\x00\xffnot what was promised\n\n'


def reply_error(
    status: int,
    code: str,
    message: str,
    ran: bool = False,
) -> Response:
    """Return an error response."""
    detail = {'code': code, 'message': message, 'ran': ran}
    return reply_json({'error': detail}, status)


def token_text(run: Run, number: int) -> str:
    """Return the text of a token, which contains its request id."""
    return f'{run.request_id}:{number} '


def response_model(run: Run, faults: Faults) -> str:
    """Return the adapter's name for the response."""
    return faults.wrong_adapter or run.adapter


def reply_whole(run: Run, faults: Faults) -> Response:
    """Return a response with all tokens."""
    if faults.garbage:
        return Response(GARBAGE, headers={'x-request-id': run.request_id})
    text = ''.join(token_text(run, number) for number in range(run.total))
    choice: dict[str, Any] = {'index': 0, 'finish_reason': 'length'}
    if run.chat:
        choice['message'] = {'role': 'assistant', 'content': text}
    else:
        choice['text'] = text
    body = {
        'id': run.request_id,
        'object': 'chat.completion' if run.chat else 'text_completion',
        'created': 0,
        'model': response_model(run, faults),
        'choices': [choice],
        'usage': build_usage(run),
    }
    response = reply_json(body)
    response.headers['x-request-id'] = run.request_id
    return response


def build_usage(run: Run) -> dict[str, int]:
    """Return the token counts of a run, as in OpenAI-style responses."""
    return {
        'prompt_tokens': 1,
        'completion_tokens': run.done,
        'total_tokens': run.done + 1,
    }


class ChunkWriter:
    """Encoder of the events of one stream."""

    def __init__(self, run: Run, faults: Faults) -> None:
        """Encode the events of `run`."""
        self._run = run
        self._faults = faults
        kind = 'chat.completion.chunk' if run.chat else 'text_completion'
        self._common_fields = {
            'id': run.request_id,
            'object': kind,
            'created': 0,
        }

    def write(self, number: int) -> bytes:
        """Return the event of one token; its id is the offset after it."""
        text = token_text(self._run, number)
        is_last = number + 1 == self._run.total
        choice: dict[str, Any] = {
            'index': 0,
            'finish_reason': 'length' if is_last else None,
        }
        if self._run.chat:
            choice['delta'] = {'content': text}
        else:
            choice['text'] = text
        body: dict[str, Any] = {
            **self._common_fields,
            'model': response_model(self._run, self._faults),
            'choices': [choice],
        }
        if is_last:
            body['usage'] = build_usage(self._run)
        encoded = msgspec.json.encode(body)
        return b'id: %d\ndata: %b\n\n' % (number + 1, encoded)
