"""Settings of the binaries, read from YAML and validated."""
