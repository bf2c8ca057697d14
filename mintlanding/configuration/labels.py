"""Label selectors in Kubernetes syntax, and an inverted index over labels.

Supported: `a=b`, `a==b`, `a!=b`, `a in (x,y)`, `a notin (x,y)`, `a`, `!a`;
a comma means "and". `!=` and `notin` also match objects without the label.
"""

import re
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from enum import StrEnum
from functools import lru_cache
from typing import Self

from mintlanding.core.exceptions import ConfigurationError

MAX_SELECTOR_CHARS = 2048
_PARSE_CACHE_ENTRIES = 4096
_TOKEN = re.compile(r'\s*([(),]|==|!=|=|!|[A-Za-z0-9][A-Za-z0-9_./:-]*)')
_EXAMPLE = 'write for example: app=layout, tier in (gold,silver), !retired'
_PUNCTUATION = frozenset('(),=!') | {'==', '!='}


class SelectorSyntaxError(ConfigurationError):
    """A selector that cannot be parsed; has the position and a hint."""

    def __init__(self, text: str, position: int, message: str) -> None:
        """Store `position` counted from 1; the argument counts from 0."""
        self.text = text
        self.position = position + 1
        self.hint = _EXAMPLE
        super().__init__(
            f'selector {text!r}, character {position + 1}: {message}'
        )


class Operator(StrEnum):
    """How a requirement compares a label."""

    include = 'in'
    exclude = 'notin'
    exists = 'exists'
    absent = 'absent'


@dataclass(frozen=True, slots=True)
class Requirement:
    """One condition on one label."""

    label: str
    operator: Operator
    values: frozenset[str] = frozenset()  # noqa: WPS110

    def matches(self, labels: Mapping[str, str]) -> bool:
        """Return whether the labels meet the condition."""
        label_value = labels.get(self.label)
        match self.operator:
            case Operator.include:
                return label_value in self.values
            case Operator.exclude:
                return label_value not in self.values
            case Operator.exists:
                return label_value is not None
        return label_value is None

    def __str__(self) -> str:
        """Return the condition in selector syntax."""
        if self.operator is Operator.exists:
            return self.label
        if self.operator is Operator.absent:
            return f'!{self.label}'
        listed = ','.join(sorted(self.values))
        return f'{self.label} {self.operator} ({listed})'


@dataclass(frozen=True, slots=True)
class LabelSelector:
    """Conditions that must all hold; an empty selector matches everything."""

    requirements: tuple[Requirement, ...] = ()

    @classmethod
    def parse(cls, text: str) -> Self:
        """Parse a selector; raise SelectorSyntaxError with the position."""
        return cls(_parse(text))

    def matches(self, labels: Mapping[str, str]) -> bool:
        """Return whether the labels meet every condition."""
        return all(each.matches(labels) for each in self.requirements)

    def unmet(self, labels: Mapping[str, str]) -> list[Requirement]:
        """Return the conditions that the labels do not meet."""
        return [each for each in self.requirements if not each.matches(labels)]

    def __str__(self) -> str:
        """Return the selector in a normalized form."""
        return ', '.join(str(each) for each in self.requirements)


class LabelIndex:
    """Inverted index of names by label and label value."""

    def __init__(self) -> None:
        """Start empty."""
        self._names: set[str] = set()
        self._postings: dict[str, dict[str, set[str]]] = {}

    def add(self, name: str, labels: Mapping[str, str]) -> None:
        """Add a name under its labels."""
        self._names.add(name)
        for label, label_value in labels.items():
            by_value = self._postings.setdefault(label, {})
            by_value.setdefault(label_value, set()).add(name)

    def remove(self, name: str, labels: Mapping[str, str]) -> None:
        """Remove a name; `labels` are those that it was added under."""
        self._names.discard(name)
        for label, label_value in labels.items():
            by_value = self._postings[label]
            by_value[label_value].discard(name)
            if not by_value[label_value]:
                by_value.pop(label_value)
            if not by_value:
                self._postings.pop(label)

    def select(self, selector: LabelSelector) -> set[str]:
        """Return the names that meet every condition, as a new set."""
        wanted = sorted(
            (
                self._names_matching(each)
                for each in selector.requirements
                if each.operator in {Operator.include, Operator.exists}
            ),
            key=len,
        )
        found = set(wanted[0]) if wanted else set(self._names)
        for names in wanted[1:]:
            found &= names
        for each in selector.requirements:
            if each.operator in {Operator.exclude, Operator.absent}:
                found -= self._names_matching(each)
        return found

    def _names_matching(self, requirement: Requirement) -> set[str]:
        by_value = self._postings.get(requirement.label, {})
        if requirement.operator in {Operator.exists, Operator.absent}:
            return set().union(*by_value.values())
        postings = [by_value.get(each, set()) for each in requirement.values]
        return postings[0] if len(postings) == 1 else set().union(*postings)


@dataclass(frozen=True, slots=True)
class _Token:
    text: str
    position: int


class _Parser:
    """Recursive-descent parser with one token of lookahead."""

    def __init__(self, text: str) -> None:
        """Split the text into tokens."""
        self._text = text
        self._tokens = list(_tokenize(text))
        self._at = 0

    def requirements(self) -> tuple[Requirement, ...]:
        """Parse all requirements."""
        if self._peek() == '':
            return ()
        found = [self._parse_requirement()]
        while self._peek():
            self._expect(',')
            found.append(self._parse_requirement())
        return tuple(found)

    def _parse_requirement(self) -> Requirement:
        if self._peek() == '!':
            self._next()
            return Requirement(self._expect_word('a label'), Operator.absent)
        label = self._expect_word('a label')
        match self._peek():
            case '=' | '==':
                return self._parse_single(label, Operator.include)
            case '!=':
                return self._parse_single(label, Operator.exclude)
            case 'in':
                return self._parse_list(label, Operator.include)
            case 'notin':
                return self._parse_list(label, Operator.exclude)
        return Requirement(label, Operator.exists)

    def _parse_single(self, label: str, operator: Operator) -> Requirement:
        self._next()
        label_value = self._expect_word('a value')
        return Requirement(label, operator, frozenset((label_value,)))

    def _parse_list(self, label: str, operator: Operator) -> Requirement:
        self._next()
        self._expect('(')
        listed = [self._expect_word('a value')]
        while self._peek() == ',':
            self._next()
            listed.append(self._expect_word('a value'))
        self._expect(')')
        return Requirement(label, operator, frozenset(listed))

    def _peek(self) -> str:
        at_end = self._at >= len(self._tokens)
        return '' if at_end else self._tokens[self._at].text

    def _next(self) -> str:
        text = self._peek()
        self._at += 1
        return text

    def _expect(self, text: str) -> None:
        if self._peek() != text:
            raise self._error(f'expected {text!r}')
        self._next()

    def _expect_word(self, wanted: str) -> str:
        if self._peek() in _PUNCTUATION or not self._peek():
            raise self._error(f'expected {wanted}')
        return self._next()

    def _error(self, message: str) -> SelectorSyntaxError:
        if self._at < len(self._tokens):
            token = self._tokens[self._at]
            found = f'{message}, found {token.text!r}'
            return SelectorSyntaxError(self._text, token.position, found)
        found = f'{message}, found the end'
        return SelectorSyntaxError(self._text, len(self._text), found)


def _tokenize(text: str) -> Iterable[_Token]:
    position = 0
    end = len(text.rstrip())
    while position < end:
        found = _TOKEN.match(text, position)
        if found is None:
            skipped = len(text[position:]) - len(text[position:].lstrip())
            place = position + skipped
            raise SelectorSyntaxError(
                text,
                place,
                f'unexpected {text[place]!r}',
            )
        yield _Token(found.group(1), found.start(1))
        position = found.end()


@lru_cache(maxsize=_PARSE_CACHE_ENTRIES)
def _parse(text: str) -> tuple[Requirement, ...]:
    if len(text) > MAX_SELECTOR_CHARS:
        raise SelectorSyntaxError(
            f'{text[:40]}...',
            MAX_SELECTOR_CHARS,
            f'longer than {MAX_SELECTOR_CHARS} characters',
        )
    return _Parser(text).requirements()
