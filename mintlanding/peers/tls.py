"""Mutual TLS between members, if the platform provides certificates."""

import ssl
from dataclasses import dataclass

from mintlanding.core.exceptions import ConfigurationError

_PROTOCOL = 'h2'


@dataclass(frozen=True, slots=True)
class TlsFiles:
    """Paths of the certificate, its private key and the members' CA."""

    certificate: str
    key: str
    authority: str

    def for_server(self) -> ssl.SSLContext:
        """Return a context that requires a client certificate."""
        context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
        context.verify_mode = ssl.CERT_REQUIRED
        return self._load(context)

    def for_client(self) -> ssl.SSLContext:
        """Return a context that verifies the server's certificate and host."""
        return self._load(ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT))

    def _load(self, context: ssl.SSLContext) -> ssl.SSLContext:
        context.minimum_version = ssl.TLSVersion.TLSv1_3
        context.set_alpn_protocols([_PROTOCOL])
        try:
            context.load_cert_chain(self.certificate, self.key)
        except OSError as exc:
            raise ConfigurationError(
                f'cannot use {self.certificate} with {self.key}: {exc}',
            ) from exc
        try:
            context.load_verify_locations(self.authority)
        except OSError as cause:
            raise ConfigurationError(
                f'cannot use {self.authority}: {cause}',
            ) from cause
        return context
