"""Schedules of faults, the same for the same seed."""

from collections.abc import Sequence

import numpy as np
from msgspec import Struct, structs

RECOVERY_S = 5.0
"""Time after a fault's end in which its consequences may show, in seconds."""

FIRST_FAULT_AT_S = 3.0
"""Time of the first fault, in seconds."""

LEADER_PROBABILITY = 0.4
"""Share of the control replicas' faults that hit the leader."""

OVERLAP_PROBABILITY = 0.3
"""Share of faults during which a second one begins."""


LEADER = "leader"
"""Stands for the control replica that leads when the fault begins."""


class Kill(Struct, frozen=True, kw_only=True, tag=True):
    """Kill a process and start it again when the fault ends.

    :param process: its name; control replicas are named by place.
    """

    process: str


class Freeze(Struct, frozen=True, kw_only=True, tag=True):
    """Stop a process from running until the fault ends.

    :param process: its name.
    """

    process: str


class Cut(Struct, frozen=True, kw_only=True, tag=True):
    """Cut the network between a process and a control replica.

    :param process: a gateway or a control replica.
    :param control: the control replica.
    :param there: whether bytes to the control replica are held.
    :param back: whether bytes from it are held.
    """

    process: str
    control: str
    there: bool
    back: bool


class Isolate(Struct, frozen=True, kw_only=True, tag=True):
    """Cut a control replica off from every other process.

    :param control: the control replica.
    """

    control: str


class Wipe(Struct, frozen=True, kw_only=True, tag=True):
    """Lose a control replica with its disk, and replace it by a new one.

    :param control: the control replica.
    :param then: a second one that is lost right after the repair, or None.
    """

    control: str
    then: str | None


class Race(Struct, frozen=True, kw_only=True, tag=True):
    """Operators submit different documents based on the same version.

    :param operators: how many.
    """

    operators: int


class Leave(Struct, frozen=True, kw_only=True, tag=True):
    """Operators tell a server to leave, and take it back when the fault ends.

    :param server: its id.
    """

    server: str


Action = Kill | Freeze | Cut | Isolate | Wipe | Race | Leave


class Fault(Struct, frozen=True, kw_only=True):
    """One planned fault.

    :param at: time of its beginning, in seconds from the first request.
    :param lasts: its length in seconds.
    :param action: what happens.
    """

    at: float
    lasts: float
    action: Action

    @property
    def ends_at(self) -> float:
        """Time of its end in seconds."""
        return self.at + self.lasts


class FaultTargets(Struct, frozen=True, kw_only=True):
    """Processes that faults may hit.

    :param controls: names of the control replicas' places.
    :param gateways: names of the gateways.
    :param servers: ids of the stand-in servers.
    """

    controls: tuple[str, ...]
    gateways: tuple[str, ...]
    servers: tuple[str, ...]


class _FaultGenerator:
    """Draws faults from a seeded generator."""

    def __init__(self, *, seed: int, roster: FaultTargets) -> None:
        self._rng = np.random.default_rng(seed)
        self._roster = roster

    def choose(self, names: Sequence[str]) -> str:
        return names[int(self._rng.integers(len(names)))]

    def draw_uniform(self, low: float, high: float) -> float:
        return round(float(self._rng.uniform(low, high)), 2)

    def draw_bool(self, share: float) -> bool:
        return bool(self._rng.random() < share)

    def choose_process(self) -> str:
        return self.choose(
            (self.choose_control(), self.choose(self._roster.gateways), self.choose_server())
        )

    def choose_control(self) -> str:
        return LEADER if self.draw_bool(LEADER_PROBABILITY) else self.choose(self._roster.controls)

    def choose_server(self) -> str:
        return self.choose(self._roster.servers)

    def make_fault(self, at: float) -> Fault:
        lasts = self.draw_uniform(0.5, 8.0)
        match int(self._rng.integers(7)):
            case 0:
                action: Action = Kill(process=self.choose_process())
                lasts = self.draw_uniform(0.5, 4.0)
            case 1 | 2:
                action = Freeze(process=self.choose_process())
            case 3:
                action = self._make_cut()
            case 4:
                action = self._make_isolation_or_wipe()
                lasts = self.draw_uniform(1.0, 6.0)
            case 5:
                action = Race(operators=int(self._rng.integers(2, 5)))
                lasts = 0.0
            case _:
                action = Leave(server=self.choose_server())
                lasts = self.draw_uniform(4.0, 8.0)
        return Fault(at=round(at, 2), lasts=lasts, action=action)

    def _make_cut(self) -> Cut:
        control = self.choose_control()
        others = [name for name in self._roster.controls if name != control]
        process = self.choose((self.choose(others), self.choose(self._roster.gateways)))
        there, back = ((True, True), (True, False), (False, True))[int(self._rng.integers(3))]
        return Cut(process=process, control=control, there=there, back=back)

    def _make_isolation_or_wipe(self) -> Action:
        if self.draw_bool(0.5):
            return Isolate(control=self.choose_control())
        control = self.choose(self._roster.controls)
        others = [name for name in self._roster.controls if name != control]
        return Wipe(control=control, then=self.choose(others) if self.draw_bool(0.5) else None)


def make_schedule(*, seed: int, seconds: float, roster: FaultTargets) -> tuple[Fault, ...]:
    """Return the faults of a run in order of time.

    :param seed: the same seed gives the same schedule.
    :param seconds: length of the run; every fault ends before it.
    :param roster: what may be hit.
    """
    draw = _FaultGenerator(seed=seed, roster=roster)
    faults: list[Fault] = []
    at = FIRST_FAULT_AT_S
    while True:
        episode = [draw.make_fault(at)]
        if draw.draw_bool(OVERLAP_PROBABILITY):
            episode.append(draw.make_fault(at + draw.draw_uniform(0.1, 1.5)))
        at = max(fault.ends_at for fault in episode) + RECOVERY_S
        if at > seconds:
            return tuple(faults)
        faults += _without_shared_targets(episode)


def _without_shared_targets(episode: Sequence[Fault]) -> Sequence[Fault]:
    """Return the faults without a second one on the same processes."""
    first = episode[0]
    hit = target_names(first.action)
    return [first, *(fault for fault in episode[1:] if not hit & target_names(fault.action))]


def target_names(action: Action) -> set[str]:
    """Return the names of the processes that a fault acts on directly."""
    fields = structs.asdict(action)
    return {value for value in fields.values() if isinstance(value, str)}


def format_schedule(faults: Sequence[Fault]) -> str:
    """Return the schedule as lines of text."""
    return "\n".join(
        f"{fault.at:7.2f} s for {fault.lasts:5.2f} s: {describe_action(fault.action)}"
        for fault in faults
    )


def describe_action(action: Action) -> str:
    """Return a fault's name and targets."""
    fields = structs.asdict(action)
    shown = " ".join(f"{name}={value}" for name, value in fields.items())
    return f"{type(action).__name__.lower()} {shown}"
