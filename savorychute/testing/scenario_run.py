"""Running a scenario."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from savorychute.testing.capacity import estimate_requests_per_s
from savorychute.testing.drive import make_world
from savorychute.testing.faults import FAULTS, Stage
from savorychute.testing.faults.registry import find_class
from savorychute.testing.measures import measure_run
from savorychute.testing.policies import DEFAULT_POLICY, POLICIES
from savorychute.testing.profiles import PROFILES
from savorychute.testing.scenario_file import ALL_PROMISES
from savorychute.testing.workload import Workload

if TYPE_CHECKING:
    from collections.abc import Callable

    from savorychute.testing.faults import FaultStep
    from savorychute.testing.measures import RunFigures
    from savorychute.testing.scenario import Expectation, LoadSpec, Scenario
    from savorychute.testing.world import World

IDLE_STEP_MS = 500.0


class ScenarioResult(NamedTuple):
    """The figures of a run and which expectations did not hold."""

    figures: RunFigures
    failures: tuple[str, ...]


def run_scenario(
    scenario: Scenario,
    system: str = '',
    seed: int | None = None,
    policy: str = DEFAULT_POLICY,
) -> ScenarioResult:
    """Run a scenario on one system.

    :param system: a profile; the scenario's first if empty.
    :param seed: the scenario's own if None.
    :param policy: a name of :data:`POLICIES`.
    """
    topology = PROFILES.get(system or scenario.systems[0])()
    chosen = scenario.seed if seed is None else seed
    world = make_world(topology, chosen, POLICIES.get(policy))
    world.configure()
    stage = Stage(world, Workload(world, world.make_rng('load')))
    plan_load(stage, scenario.load)
    begin_ms = world.heap.now_ms
    for step in scenario.at:
        world.heap.call_at(begin_ms + step.ms, _do, stage, step)
    last_ms = max((step.ms + step.for_ms for step in scenario.at), default=0.0)
    world.run_for(max(scenario.load.duration_ms, last_ms))
    run_until_idle(world, scenario.most_ms)
    load_ms = scenario.load.duration_ms
    figures = measure_run(world, scenario.name, policy, load_ms)
    failures = [
        failure
        for expectation in scenario.expect
        for failure in find_failures(figures, expectation)
    ]
    return ScenarioResult(figures, tuple(failures))


def plan_load(stage: Stage, load: LoadSpec) -> None:
    """Plan the background load."""
    topology = stage.world.topology
    total_per_s = load.requests_per_s
    if load.capacity_share:
        total_per_s = load.capacity_share * estimate_requests_per_s(topology)
    demand = sum(each.demand for each in topology.classes)
    factors = {
        find_class(topology, name).name: factor for name, factor in load.factors.items()
    }
    begin_ms = stage.world.heap.now_ms
    for each in topology.classes:
        rate = total_per_s * each.demand / demand * factors.get(each.name, 1.0)
        stage.world.class_rates[each.name] = rate
        stage.workload.run_class(
            each, begin_ms, begin_ms + load.duration_ms, _constant(rate)
        )


def _constant(rate_per_s: float) -> Callable[[float], float]:
    return lambda _: rate_per_s


def run_until_idle(world: World, most_ms: float) -> None:
    """Let time pass until every call is over, or for at most *most_ms*."""
    end_ms = world.heap.now_ms + most_ms
    while world.heap.now_ms < end_ms:
        if all(call.is_over for call in world.callers.calls):
            break
        world.run_for(IDLE_STEP_MS)
    world.run_for(IDLE_STEP_MS)


def find_failures(figures: RunFigures, expectation: Expectation) -> list[str]:
    """Return why an expectation does not hold; nothing if it does."""
    if expectation.promise:
        return [
            f'{breach.promise}: {breach.text}'
            for breach in figures.breaches
            if expectation.promise in (ALL_PROMISES, breach.promise)
        ]
    value = _find_value(figures, expectation)
    name = f'{expectation.class_name} {expectation.measure}'.strip()
    failures = []
    if expectation.at_least is not None and value < expectation.at_least:
        failures.append(f'{name} is {value:.6g}, not at least {expectation.at_least}')
    if expectation.at_most is not None and value > expectation.at_most:
        failures.append(f'{name} is {value:.6g}, not at most {expectation.at_most}')
    return failures


def _find_value(figures: RunFigures, expectation: Expectation) -> float:
    if not expectation.class_name:
        return float(getattr(figures, expectation.measure))
    for each in figures.classes:
        if expectation.class_name in (each.name, f'tier:{each.tier}'):
            return float(getattr(each, expectation.measure))
    return 0.0


def _do(stage: Stage, step: FaultStep) -> None:
    FAULTS.get(step.do)(stage, step)
