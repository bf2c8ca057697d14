"""A serving layer for very many LoRA adapters of a shared base model.

There are two server stacks, which share little code:

- `mintlanding-agent` and `mintlanding-entry`: packages agent, entry,
  placement, membership, limits and peers.
- `python -m mintlanding.platform`: packages node, residency, traffic, links,
  http1 and platform.

Some classes of the two stacks have equal names; the docstrings of their
packages say where the other one is.
"""

__version__ = '0.1.0'
