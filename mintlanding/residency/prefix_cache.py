"""Which parts of prompts an engine has probably kept."""

from collections import OrderedDict

Parts = tuple[tuple[str, int], ...]


class PrefixMemory:
    """The latest chains of prompt parts that were read for each adapter."""

    def __init__(self, limit: int) -> None:
        """Remember at most `limit` parts."""
        self._limit = limit
        self._seen: OrderedDict[tuple[str, ...], None] = OrderedDict()

    def unread(self, adapter: str, parts: Parts, total: int) -> int:
        """Return the tokens that have yet to be read of a prompt."""
        chain: tuple[str, ...] = (adapter,)
        kept = 0
        for part, tokens in parts:
            chain = (*chain, part)
            if chain not in self._seen:
                break
            kept += tokens
        return max(0, total - kept)

    def note(self, adapter: str, parts: Parts) -> None:
        """Remember the parts of a prompt that is read now."""
        chain: tuple[str, ...] = (adapter,)
        for part, _ in parts:
            chain = (*chain, part)
            self._seen[chain] = None
            self._seen.move_to_end(chain)
        while len(self._seen) > self._limit:
            self._seen.popitem(last=False)

    def forget(self, adapter: str) -> None:
        """Forget what was read for an adapter that is unloaded."""
        for chain in [each for each in self._seen if each[0] == adapter]:
            self._seen.pop(chain)
