"""Nodes and simulated links between them."""

import random

import msgspec

from mintlanding.membership.messages import HEARTBEAT
from mintlanding.membership.models import (
    Member,
    MembershipOptions,
    SendHeartbeat,
)
from mintlanding.membership.node import MembershipNode
from mintlanding.peers.messages import MessagePackCodec


class Fleet:
    """Deliver heartbeats between nodes; pairs in `cut` lose all messages."""

    def __init__(self, members, options=None, seeds=2):
        options = options or MembershipOptions()
        addresses = tuple(each.address for each in members[:seeds])
        self.options = with_seeds(options, addresses)
        self.now = 0.0
        self.nodes = {}
        self.up = set()
        self.cut = set()
        self.bytes = 0
        self.messages = 0
        self.actions = {}
        self._codec = MessagePackCodec()
        for member in members:
            self.start(member)

    def start(self, member):
        rng = random.Random(member.instance)
        node = MembershipNode.from_config(member, self.options, rng)
        self.nodes[member.instance] = node
        self.actions[member.instance] = []
        self.up.add(member.instance)

    def run(self, seconds, step=1.0):
        end = self.now + seconds
        while self.now < end:
            self.now += step
            for name in sorted(self.up):
                self.take(name, self.nodes[name].tick(self.now))

    def take(self, name, actions):
        for action in actions:
            self.actions[name].append(action)
            if isinstance(action, SendHeartbeat):
                self._send(name, action)

    def states(self, name):
        members = self.nodes[name].members(self.now)
        return {each.instance: str(each.state) for each in members.values()}

    def reaches(self, source, target):
        return target in self.up and (source, target) not in self.cut

    def cut_both(self, one, other):
        self.cut |= {(one, other), (other, one)}

    def _send(self, name, action):
        target = self._at(action.address)
        sent = self._wire(action.message)
        if target is None or not self.reaches(name, target):
            self._fail(name, action)
            return
        reply = self.nodes[target].handle_heartbeat(sent, self.now)
        self.take(target, self.nodes[target].take_changes(self.now))
        if not self.reaches(target, name):
            self._fail(name, action)
            return
        answer = self._wire(reply)
        self.take(name, self.nodes[name].handle_reply(answer, self.now))

    def _fail(self, name, action):
        failed = self.nodes[name].handle_call_failure(action.instance, self.now)
        self.take(name, failed)

    def _at(self, address):
        for name in self.up:
            if self.nodes[name].own.address == address:
                return name
        return None

    def _wire(self, message):
        packed = self._codec.encode(message, HEARTBEAT.request)
        self.bytes += len(packed)
        self.messages += 1
        return self._codec.decode(packed, HEARTBEAT.request)


def with_seeds(options, seeds):
    fields = {
        name: getattr(options, name) for name in options.__dataclass_fields__
    }
    return MembershipOptions(**{**fields, 'seeds': seeds})


def make_members(count, zones=3, regions=1):
    return [
        Member(
            instance=f'i{number}',
            zone=f'z{number % zones}',
            region=f'r{number % zones % regions}',
            address=f'10.0.0.{number}:7000',
            incarnation=1,
        )
        for number in range(count)
    ]


def with_incarnation(member, incarnation):
    return msgspec.structs.replace(member, incarnation=incarnation)
