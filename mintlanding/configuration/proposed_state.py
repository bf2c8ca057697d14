"""The configuration as it would be after proposals, and its references."""

from collections.abc import Iterator, Sequence
from dataclasses import dataclass

from mintlanding.configuration.directory import Directory
from mintlanding.configuration.models import (
    Adapter,
    AdapterVersion,
    AnyObject,
    Key,
    Ref,
    Selector,
    Target,
)
from mintlanding.configuration.proposals import Proposal


@dataclass(frozen=True, slots=True)
class ProposedState:
    """The configuration as it would be after the proposals."""

    directory: Directory
    proposals: tuple[Proposal, ...]

    @classmethod
    def of(
        cls,
        directory: Directory,
        proposals: Sequence[Proposal],
    ) -> 'ProposedState':
        """Lay proposals over a directory."""
        return cls(directory, tuple(proposals))

    def bodies(self) -> Iterator[AnyObject]:
        """Go through the proposed objects."""
        for each in self.proposals:
            if each.body is not None:
                yield each.body

    def deleted(self) -> set[Ref]:
        """Return what the proposals delete."""
        return {each.ref for each in self.proposals if each.body is None}

    def put(self) -> set[Ref]:
        """Return what the proposals put."""
        return {each.ref for each in self.proposals if each.body is not None}

    def all_bodies(self) -> Iterator[AnyObject]:
        """Go through all objects as they would be."""
        replaced = {each.ref for each in self.proposals}
        for ref, body in self.directory.objects():
            if ref not in replaced:
                yield body
        yield from self.bodies()


@dataclass(frozen=True, slots=True)
class Reference:
    """A field of an object that names another one."""

    field: str
    ref: Ref


def references_of(body: AnyObject) -> list[Reference]:
    """List what an object names."""
    found: list[Reference] = []
    if isinstance(body, Key | Adapter | Selector):
        found.append(Reference('workspace', ('workspace', body.workspace)))
    if isinstance(body, Adapter | Target):
        found.append(Reference('service', ('service', body.service)))
    if isinstance(body, AdapterVersion):
        found.append(Reference('name', ('adapter', body.adapter)))
    if isinstance(body, Adapter) and body.default_version:
        full_name = f'{body.name}@{body.default_version}'
        ref = ('adapter-version', full_name)
        found.append(Reference('default_version', ref))
    return found
