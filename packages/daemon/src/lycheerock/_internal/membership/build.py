"""Builds the membership components of a daemon."""

import dataclasses
import random
import time

from lycheerock._internal.dispatch import target_states as target_states_lib
from lycheerock._internal.membership import directory as directory_lib
from lycheerock._internal.membership import seeds as seeds_lib
from lycheerock._internal.membership import swim as swim_lib
from lycheerock._internal.membership import target_updates as target_updates_lib
from lycheerock_model import settings as settings_lib


@dataclasses.dataclass(frozen=True)
class Membership:
    """The membership components, which the gossip task updates.

    Attributes:
      swim: The SWIM state machine.
      directory: Members by instance id, for use by other components.
      seeds: Addresses for joining and for reaching unknown instances.
      target_updates: Target reports piggybacked on gossip messages.
    """

    swim: swim_lib.Swim
    directory: directory_lib.Directory
    seeds: seeds_lib.Seeds
    target_updates: target_updates_lib.TargetUpdates


def build(
    settings: settings_lib.Settings,
    incarnation: int,
    target_states: target_states_lib.TargetStates,
    rng: random.Random,
) -> Membership:
    """Builds the initial membership components of a process.

    Args:
      settings: The daemon's settings.
      incarnation: Incarnation of this process.
      target_states: The latest report on each target.
      rng: Random number generator for all random choices.

    Returns:
      The components, which know no peers yet.
    """
    directory = directory_lib.from_settings(settings, incarnation)
    seeds = seeds_lib.Seeds(
        directory,
        {peer.instance_id: peer.peer_address for peer in settings.peers},
        rng,
    )
    swim = swim_lib.Swim(directory.local_member, rng, time.monotonic())
    target_updates = target_updates_lib.TargetUpdates(
        target_states, swim.schedule_dissemination
    )
    return Membership(swim, directory, seeds, target_updates)
