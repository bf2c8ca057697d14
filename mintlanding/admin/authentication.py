"""Authentication of operators by bearer tokens, stored as SHA-256."""

import hashlib
import hmac
import re
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Self

from mintlanding.core.exceptions import ConfigurationError
from mintlanding.core.results import Done, Failed, Outcome, ResultCode

_SCHEME = 'bearer '
_DIGEST = re.compile('[0-9a-f]{64}')


def hash_token(token: str) -> str:
    """Return the digest of a token, as written in the settings."""
    return hashlib.sha256(token.encode()).hexdigest()


@dataclass(frozen=True, slots=True, repr=False)
class OperatorDirectory:
    """Names of operators and the digests of their tokens."""

    digests: Mapping[str, str]

    @classmethod
    def from_config(cls, operators: Mapping[str, str]) -> Self:
        """Check names and digests; raise ConfigurationError on a bad digest."""
        for name, digest in operators.items():
            if not _DIGEST.fullmatch(digest):
                raise ConfigurationError(
                    f'admin.operators.{name}: write the SHA-256 of the token '
                    'as 64 hex digits',
                )
        return cls(dict(operators))

    def authenticate(self, header: str) -> Outcome[str]:
        """Return the operator's name.

        Every digest is compared, so that timing does not depend on the match.
        """
        if not header.lower().startswith(_SCHEME):
            return Failed.of(ResultCode.operator_unauthorized)
        digest = hash_token(header[len(_SCHEME) :].strip())
        matches = [
            name
            for name, expected in self.digests.items()
            if hmac.compare_digest(digest, expected)
        ]
        if not matches:
            return Failed.of(ResultCode.operator_unauthorized)
        return Done(matches[0])
