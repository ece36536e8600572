"""Positions of a store that states no era, or a given one."""

from ibispaddle_core.topics import TopicPosition


def at(offset: int, era: int = 0) -> TopicPosition:
    return TopicPosition(era, offset)
