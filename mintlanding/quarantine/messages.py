"""What instances tell each other about crashes and their suspects."""

import msgspec

from mintlanding.core.bounds import Count, OptionalAmount


class EngineCrash(msgspec.Struct, frozen=True, array_like=True):
    """A crash of an engine, `age` seconds ago.

    `engine` names the engine and its incarnation, which ends with the crash.
    """

    engine: str
    age: OptionalAmount


class SuspectPart(msgspec.Struct, frozen=True, array_like=True):
    """Crashes under a part of a prompt, as known to the sender.

    Of a whole request, `part` is the digest and `position` 0.

    `answered_age` is for how many seconds the sender has had no complete
    response to a request with the part, negative if it never had one.
    """

    part: str
    position: Count = 0
    crashes: tuple[EngineCrash, ...] = ()
    answered_age: OptionalAmount = -1.0
    is_quarantined: bool = False
