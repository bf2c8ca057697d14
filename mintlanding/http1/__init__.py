"""HTTP/1.1 as the relay needs it: callers' side and targets' side."""
