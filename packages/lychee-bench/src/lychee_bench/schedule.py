"""Random schedules of faults, reproducible by their seed."""

from collections.abc import Sequence

import numpy as np
from msgspec import Struct, structs

RECOVERY_S = 5.0
"""Time after the end of a fault in which it may still have effects, in seconds."""

FIRST_FAULT_AT_S = 3.0
"""Time of the first fault, in seconds."""

LEADER_PROBABILITY = 0.4
"""Probability that a fault of a control replica hits the leader."""

OVERLAP_PROBABILITY = 0.3
"""Probability that a second fault begins shortly after a fault."""


LEADER = "leader"
"""Placeholder for the control replica that is the leader when the fault begins."""


class Kill(Struct, frozen=True, kw_only=True, tag=True):
    """Kill a process, and restart it when the fault ends.

    :param process: its name; a control replica has the name of its place.
    """

    process: str


class Freeze(Struct, frozen=True, kw_only=True, tag=True):
    """Suspend a process until the fault ends.

    :param process: its name.
    """

    process: str


class Cut(Struct, frozen=True, kw_only=True, tag=True):
    """Cut the network between a process and a control replica.

    :param process: a gateway or a control replica.
    :param control: the control replica.
    :param there: whether traffic to the control replica is held back.
    :param back: whether traffic from the control replica is held back.
    """

    process: str
    control: str
    there: bool
    back: bool


class Isolate(Struct, frozen=True, kw_only=True, tag=True):
    """Partition a control replica from every other process.

    :param control: the control replica.
    """

    control: str


class Wipe(Struct, frozen=True, kw_only=True, tag=True):
    """Lose a control replica with its disk, and replace it by a new one.

    :param control: the control replica.
    :param then: a second control replica that is killed right after the replacement, or None.
    """

    control: str
    then: str | None


class Race(Struct, frozen=True, kw_only=True, tag=True):
    """Let operators submit different documents at once, all based on the same version.

    :param operators: number of operators.
    """

    operators: int


class Leave(Struct, frozen=True, kw_only=True, tag=True):
    """Tell a server to leave, and withdraw this when the fault ends.

    :param server: its id.
    """

    server: str


Action = Kill | Freeze | Cut | Isolate | Wipe | Race | Leave


class Fault(Struct, frozen=True, kw_only=True):
    """One planned fault.

    :param at: time of its start, in seconds from the first request.
    :param lasts: its duration in seconds.
    :param action: what is done.
    """

    at: float
    lasts: float
    action: Action

    @property
    def ends_at(self) -> float:
        """Time of its end, in seconds from the first request."""
        return self.at + self.lasts


class FaultTargets(Struct, frozen=True, kw_only=True):
    """Processes that faults may hit.

    :param controls: places of the control replicas; a replacement keeps the place.
    :param gateways: names of the gateways.
    :param servers: ids of the stand-in servers.
    """

    controls: tuple[str, ...]
    gateways: tuple[str, ...]
    servers: tuple[str, ...]


class _FaultGenerator:
    """Generates faults from a seeded random number generator."""

    def __init__(self, *, seed: int, targets: FaultTargets) -> None:
        self._rng = np.random.default_rng(seed)
        self._targets = targets

    def choose(self, names: Sequence[str]) -> str:
        return names[int(self._rng.integers(len(names)))]

    def draw_uniform(self, low: float, high: float) -> float:
        return round(float(self._rng.uniform(low, high)), 2)

    def draw_bool(self, probability: float) -> bool:
        return bool(self._rng.random() < probability)

    def choose_process(self) -> str:
        return self.choose(
            (self.choose_control(), self.choose(self._targets.gateways), self.choose_server())
        )

    def choose_control(self) -> str:
        return LEADER if self.draw_bool(LEADER_PROBABILITY) else self.choose(self._targets.controls)

    def choose_server(self) -> str:
        return self.choose(self._targets.servers)

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
        others = [name for name in self._targets.controls if name != control]
        process = self.choose((self.choose(others), self.choose(self._targets.gateways)))
        there, back = ((True, True), (True, False), (False, True))[int(self._rng.integers(3))]
        return Cut(process=process, control=control, there=there, back=back)

    def _make_isolation_or_wipe(self) -> Action:
        if self.draw_bool(0.5):
            return Isolate(control=self.choose_control())
        control = self.choose(self._targets.controls)
        others = [name for name in self._targets.controls if name != control]
        return Wipe(control=control, then=self.choose(others) if self.draw_bool(0.5) else None)


def make_schedule(*, seed: int, seconds: float, targets: FaultTargets) -> tuple[Fault, ...]:
    """Return the faults of a run, ordered by start time.

    :param seed: the same seed gives the same schedule.
    :param seconds: duration of the run; every fault ends before its end.
    :param targets: the processes that may be hit.
    """
    generator = _FaultGenerator(seed=seed, targets=targets)
    faults: list[Fault] = []
    at = FIRST_FAULT_AT_S
    while True:
        episode = [generator.make_fault(at)]
        if generator.draw_bool(OVERLAP_PROBABILITY):
            episode.append(generator.make_fault(at + generator.draw_uniform(0.1, 1.5)))
        at = max(fault.ends_at for fault in episode) + RECOVERY_S
        if at > seconds:
            return tuple(faults)
        faults += _without_shared_targets(episode)


def _without_shared_targets(episode: Sequence[Fault]) -> Sequence[Fault]:
    """Return the faults without those that act on a process of the first one."""
    first = episode[0]
    first_targets = target_names(first.action)
    return [
        first,
        *(fault for fault in episode[1:] if not first_targets & target_names(fault.action)),
    ]


def target_names(action: Action) -> set[str]:
    """Return the names of the processes that an action affects directly."""
    fields = structs.asdict(action)
    return {value for value in fields.values() if isinstance(value, str)}


def format_schedule(faults: Sequence[Fault]) -> str:
    """Return the schedule as text, one line per fault."""
    return "\n".join(
        f"{fault.at:7.2f} s for {fault.lasts:5.2f} s: {describe_action(fault.action)}"
        for fault in faults
    )


def describe_action(action: Action) -> str:
    """Return an action's name and fields as text."""
    fields = structs.asdict(action)
    text = " ".join(f"{name}={value}" for name, value in fields.items())
    return f"{type(action).__name__.lower()} {text}"
