"""Fair order of adapter loads over workspaces."""

# Accounts of long idle workspaces are dropped in bulk beyond this number.
_MAX_ACCOUNTS = 4096


class LoadShares:
    """Virtual time in loads, beside the one in tokens.

    Store permits can be scarcer than the engine. Ordered by tokens alone, a
    workspace of many rarely used adapters would get most of the permits.
    """

    def __init__(self) -> None:
        """Start with all workspaces equal."""
        self._virtual: float = 0
        self._tags: dict[str, float] = {}

    def start(self, workspace: str) -> float:
        """Return the virtual time at which its next load starts."""
        return max(self._tags.get(workspace, 0), self._virtual)

    def charge(self, workspace: str, weight: float) -> None:
        """Charge one load to a workspace."""
        start = self.start(workspace)
        self._virtual = start
        self._tags[workspace] = start + 1 / weight
        if len(self._tags) > _MAX_ACCOUNTS:
            self._tags = {
                name: tag for name, tag in self._tags.items() if tag > start
            }
