"""The configuration with proposals applied, and references between objects."""

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
    """A directory with proposals applied on top."""

    directory: Directory
    proposals: tuple[Proposal, ...]

    @classmethod
    def of(
        cls,
        directory: Directory,
        proposals: Sequence[Proposal],
    ) -> 'ProposedState':
        """Apply proposals on top of a directory, which stays unchanged."""
        return cls(directory, tuple(proposals))

    def bodies(self) -> Iterator[AnyObject]:
        """Iterate over the proposed objects."""
        for each in self.proposals:
            if each.body is not None:
                yield each.body

    def deleted_refs(self) -> set[Ref]:
        """Return references to the objects that the proposals delete."""
        return {each.ref for each in self.proposals if each.body is None}

    def put_refs(self) -> set[Ref]:
        """Return references to the objects that the proposals put."""
        return {each.ref for each in self.proposals if each.body is not None}

    def all_bodies(self) -> Iterator[AnyObject]:
        """Iterate over all objects, proposed and unchanged ones."""
        replaced = {each.ref for each in self.proposals}
        for ref, body in self.directory.objects():
            if ref not in replaced:
                yield body
        yield from self.bodies()


@dataclass(frozen=True, slots=True)
class Reference:
    """A field of an object that names another object."""

    field: str
    ref: Ref


def references_of(body: AnyObject) -> list[Reference]:
    """Return the references from an object to others."""
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
