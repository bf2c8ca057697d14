"""Adapter to the deployment platform: decodes its messages to internal types.

The package has nothing to do with the module `platform` of the standard
library. `python -m mintlanding.platform` starts an instance (mintlanding.node).
Only this package knows the names that the platform uses, and it makes no
decisions of its own.
"""
