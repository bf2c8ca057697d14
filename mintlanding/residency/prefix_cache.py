"""Estimate which prompt prefixes an engine has in its cache."""

from collections import OrderedDict

Parts = tuple[tuple[str, int], ...]


class PrefixCacheModel:
    """The most recent chains of prompt parts for each adapter."""

    def __init__(self, limit: int) -> None:
        """Remember at most `limit` parts."""
        self._limit = limit
        self._seen: OrderedDict[tuple[str, ...], None] = OrderedDict()

    def uncached_tokens(self, adapter: str, parts: Parts, total: int) -> int:
        """Return how many tokens of a prompt are probably not cached."""
        chain: tuple[str, ...] = (adapter,)
        kept = 0
        for part, tokens in parts:
            chain = (*chain, part)
            if chain not in self._seen:
                break
            kept += tokens
        return max(0, total - kept)

    def note(self, adapter: str, parts: Parts) -> None:
        """Record the parts of a prompt that is prefilled now."""
        chain: tuple[str, ...] = (adapter,)
        for part, _ in parts:
            chain = (*chain, part)
            self._seen[chain] = None
            self._seen.move_to_end(chain)
        while len(self._seen) > self._limit:
            self._seen.popitem(last=False)

    def forget(self, adapter: str) -> None:
        """Forget the prefixes of an adapter that was unloaded."""
        for chain in [each for each in self._seen if each[0] == adapter]:
            self._seen.pop(chain)
