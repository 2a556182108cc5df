"""Builds the state of membership."""

import dataclasses
import random
import time

from lycheerock._internal.dispatch import target_states as target_states_lib
from lycheerock._internal.membership import directory as directory_lib
from lycheerock._internal.membership import seeds as seeds_lib
from lycheerock._internal.membership import swim as swim_lib
from lycheerock._internal.membership import target_news as target_news_lib
from lycheerock_model import settings as settings_lib


@dataclasses.dataclass(frozen=True)
class Membership:
    """The state that the gossip task owns.

    Attributes:
      swim: The state machine.
      directory: The members as others read them.
      seeds: Instances to contact that gossip does not reach.
      target_news: Reports on targets that travel with gossip.
    """

    swim: swim_lib.Swim
    directory: directory_lib.Directory
    seeds: seeds_lib.Seeds
    target_news: target_news_lib.TargetNews


def build(
    settings: settings_lib.Settings,
    incarnation: int,
    target_states: target_states_lib.TargetStates,
    rng: random.Random,
) -> Membership:
    """Builds the state that a process starts with.

    Args:
      settings: The daemon's settings.
      incarnation: Incarnation of this process.
      target_states: Reports on targets.
      rng: Source of all random choices.

    Returns:
      The state.
    """
    directory = directory_lib.from_settings(settings, incarnation)
    seeds = seeds_lib.Seeds(
        directory,
        {peer.instance_id: peer.peer_address for peer in settings.peers},
        rng,
    )
    swim = swim_lib.Swim(directory.local_member, rng, time.monotonic())
    news = target_news_lib.TargetNews(target_states, swim.announce)
    return Membership(swim, directory, seeds, news)
