"""Settings of the HTTP/2 connections between processes."""

from grpclib.config import Configuration

_WINDOW_BYTES = 1 << 20


def connection_settings() -> Configuration:
    """Return settings with small windows and keepalive pings.

    The pings close a connection whose peer no longer responds.
    """
    return Configuration(
        _keepalive_time=5,
        _keepalive_timeout=5,
        _keepalive_permit_without_calls=True,
        _http2_max_pings_without_data=0,
        _http2_min_sent_ping_interval_without_data=4,
        http2_connection_window_size=_WINDOW_BYTES,
        http2_stream_window_size=_WINDOW_BYTES,
    )
