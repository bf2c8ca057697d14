"""Settings of the connections under the calls."""

from grpclib.config import Configuration

_WINDOW_BYTES = 1 << 20


def connection_settings() -> Configuration:
    """Return small windows, and pings that close a silent connection."""
    return Configuration(
        _keepalive_time=5,
        _keepalive_timeout=5,
        _keepalive_permit_without_calls=True,
        _http2_max_pings_without_data=0,
        _http2_min_sent_ping_interval_without_data=4,
        http2_connection_window_size=_WINDOW_BYTES,
        http2_stream_window_size=_WINDOW_BYTES,
    )
