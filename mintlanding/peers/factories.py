"""Build peer clients and servers from the settings."""

from mintlanding.conf.models import InstanceSettings, TlsSettings
from mintlanding.peers.auth import PeerKeyring
from mintlanding.peers.client import PeerClient
from mintlanding.peers.server import PeerServer
from mintlanding.peers.tls import TlsFiles


def build_keyring(cfg: InstanceSettings) -> PeerKeyring:
    """Return a keyring that signs as the instance."""
    return PeerKeyring.from_config(cfg.instance, cfg.peers.secrets)


def build_client(cfg: InstanceSettings) -> PeerClient:
    """Return a client that signs as the instance, with TLS if configured."""
    files = _tls_files(cfg.peers.tls)
    context = files.for_client() if files else None
    return PeerClient(build_keyring(cfg), tls=context)


def build_server(cfg: InstanceSettings) -> PeerServer:
    """Return a server that accepts members, with TLS if configured."""
    files = _tls_files(cfg.peers.tls)
    context = files.for_server() if files else None
    return PeerServer(build_keyring(cfg), tls=context)


def _tls_files(tls: TlsSettings | None) -> TlsFiles | None:
    if tls is None:
        return None
    return TlsFiles(tls.certificate, tls.private_key, tls.authority)
