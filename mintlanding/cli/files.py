"""Reading of YAML files with objects; errors name their place."""

import json
import sys
from contextlib import suppress
from pathlib import Path
from typing import Any

import yaml
from pydantic import ValidationError

from mintlanding.admin.errors import build_validation_refusal
from mintlanding.admin.messages import ApplyRequest
from mintlanding.admin.schemas import KeySchema
from mintlanding.cli.exceptions import CommandError, ExitCode
from mintlanding.configuration.checks import check_proposals
from mintlanding.configuration.directory import Directory
from mintlanding.configuration.proposals import Proposal

STANDARD_INPUT = '-'
_JSON_STARTS = ('{', '[')
_LOADER = getattr(yaml, 'CSafeLoader', yaml.SafeLoader)
_NEEDS_SERVER = frozenset(('C003', 'C004'))
_FILE_HINT = 'docs/tutorial.md shows a file of objects'


def read_text(path: str) -> str:
    """Return the text of a file, or of standard input for `-`."""
    if path == STANDARD_INPUT:
        return sys.stdin.read()
    try:
        return Path(path).read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as exc:
        raise CommandError(
            ExitCode.usage,
            f'cannot read {path}: {exc}',
            'give a YAML file, or - for standard input',
        ) from exc


def read_documents(path: str) -> list[Any]:
    """Parse all YAML documents of a file.

    JSON goes through the JSON parser, which is faster.
    """
    text = read_text(path)
    if text.startswith(_JSON_STARTS):
        with suppress(ValueError):
            return [json.loads(text)]
    try:
        documents = list(yaml.load_all(text, Loader=_LOADER))
    except yaml.YAMLError as exc:
        raise CommandError(
            ExitCode.usage,
            f'{path} is not valid YAML: {exc}',
            'check the indentation and the quotes there',
        ) from exc
    return [document for document in documents if document is not None]


def is_settings(documents: list[Any]) -> bool:
    """Return whether the documents are the settings of an instance."""
    if len(documents) != 1 or not isinstance(documents[0], dict):
        return False
    return 'kind' not in documents[0] and 'instance' in documents[0]


def read_objects(path: str) -> ApplyRequest:
    """Read objects from a file.

    A document is one object, a list of objects, or a mapping with `objects`
    and `deletions`.
    """
    return build_request(read_documents(path), path)


def build_request(documents: list[Any], path: str) -> ApplyRequest:
    """Return the apply request of the documents.

    Raise CommandError if an object is invalid or there is none.
    """
    found: dict[str, list[Any]] = {'objects': [], 'deletions': []}
    for document in documents:
        _add_document(document, found, path)
    if not any(found.values()):
        raise CommandError(
            ExitCode.usage,
            f'{path} contains no objects',
            _FILE_HINT,
        )
    try:
        return ApplyRequest.model_validate(found)
    except ValidationError as exc:
        raise _validation_error(exc, path) from exc


def check_objects(req: ApplyRequest) -> list[str]:
    """Return the errors that can be found without a server."""
    proposals = [
        Proposal.put(requested.to_struct())
        for requested in req.objects
        if not isinstance(requested, KeySchema)
    ]
    return [
        str(message)
        for message in check_proposals(Directory(), proposals)
        if message.check_id not in _NEEDS_SERVER
    ]


def _add_document(
    document: Any, found: dict[str, list[Any]], path: str
) -> None:
    if isinstance(document, list):
        found['objects'].extend(document)
    elif isinstance(document, dict) and 'kind' in document:
        found['objects'].append(document)
    elif isinstance(document, dict) and document.keys() <= found.keys():
        for name, entries in document.items():
            found[name].extend(entries or [])
    else:
        raise CommandError(
            ExitCode.usage,
            f'{path} contains a document that is not an object',
            f'each object has a "kind"; {_FILE_HINT}',
        )


def _validation_error(exc: ValidationError, path: str) -> CommandError:
    refusal = build_validation_refusal(exc, path)
    return CommandError(
        ExitCode.usage,
        f'{path} has {len(refusal.mistakes)} mistake(s)',
        _FILE_HINT,
        [f'  {each.place}: {each.message}' for each in refusal.mistakes],
    )
