"""The operators' configuration: objects, revisions, storage, distribution."""
