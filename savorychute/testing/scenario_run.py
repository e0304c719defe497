"""Execution of scenarios."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from savorychute.testing.capacity import estimate_requests_per_s
from savorychute.testing.faults import FAULTS, FaultContext
from savorychute.testing.faults.registry import find_class
from savorychute.testing.measures import measure_run
from savorychute.testing.policies import DEFAULT_POLICY, POLICIES
from savorychute.testing.profiles import PROFILES
from savorychute.testing.scenario_file import ALL_INVARIANTS
from savorychute.testing.simulation_factory import make_simulation
from savorychute.testing.workload import Workload

if TYPE_CHECKING:
    from collections.abc import Callable

    from savorychute.testing.faults import FaultStep
    from savorychute.testing.measures import RunFigures
    from savorychute.testing.scenario import Expectation, LoadSpec, Scenario
    from savorychute.testing.simulation import Simulation

IDLE_STEP_MS = 500.0


class ScenarioResult(NamedTuple):
    """The figures of a run and the expectations that did not hold."""

    figures: RunFigures
    failures: tuple[str, ...]


def run_scenario(
    scenario: Scenario,
    system: str = '',
    seed: int | None = None,
    policy: str = DEFAULT_POLICY,
) -> ScenarioResult:
    """Run a scenario on one system.

    :param system: the profile; by default the first one of the scenario.
    :param seed: the seed; by default that of the scenario.
    :param policy: a name in :data:`POLICIES`.
    """
    topology = PROFILES.get(system or scenario.systems[0])()
    chosen_seed = scenario.seed if seed is None else seed
    simulation = make_simulation(topology, chosen_seed, POLICIES.get(policy))
    simulation.configure()
    context = FaultContext(
        simulation, Workload(simulation, simulation.make_rng('load'))
    )
    plan_load(context, scenario.load)
    start_ms = simulation.heap.now_ms
    for step in scenario.at:
        simulation.heap.call_at(start_ms + step.ms, _apply_step, context, step)
    last_ms = max((step.ms + step.for_ms for step in scenario.at), default=0.0)
    simulation.run_for(max(scenario.load.duration_ms, last_ms))
    run_until_idle(simulation, scenario.most_ms)
    load_ms = scenario.load.duration_ms
    figures = measure_run(simulation, scenario.name, policy, load_ms)
    failures = [
        failure
        for expectation in scenario.expect
        for failure in find_failures(figures, expectation)
    ]
    return ScenarioResult(figures, tuple(failures))


def plan_load(context: FaultContext, load: LoadSpec) -> None:
    """Schedule the background load."""
    topology = context.simulation.topology
    total_per_s = load.requests_per_s
    if load.capacity_share:
        total_per_s = load.capacity_share * estimate_requests_per_s(topology)
    demand = sum(call_class.demand for call_class in topology.classes)
    factors = {
        find_class(topology, name).name: factor for name, factor in load.factors.items()
    }
    start_ms = context.simulation.heap.now_ms
    for call_class in topology.classes:
        rate_per_s = (
            total_per_s * call_class.demand / demand * factors.get(call_class.name, 1.0)
        )
        context.simulation.class_rates[call_class.name] = rate_per_s
        context.workload.run_class(
            call_class, start_ms, start_ms + load.duration_ms, _constant(rate_per_s)
        )


def _constant(rate_per_s: float) -> Callable[[float], float]:
    return lambda _: rate_per_s


def run_until_idle(simulation: Simulation, max_ms: float) -> None:
    """Advance time until every call is finished, for at most *max_ms*."""
    end_ms = simulation.heap.now_ms + max_ms
    while simulation.heap.now_ms < end_ms:
        if all(call.is_finished for call in simulation.callers.calls):
            break
        simulation.run_for(IDLE_STEP_MS)
    simulation.run_for(IDLE_STEP_MS)


def find_failures(figures: RunFigures, expectation: Expectation) -> list[str]:
    """Return the reasons why an expectation does not hold, if any."""
    if expectation.promise:
        return [
            f'{violation.promise}: {violation.text}'
            for violation in figures.breaches
            if expectation.promise in (ALL_INVARIANTS, violation.promise)
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
    for class_figures in figures.classes:
        if expectation.class_name in (class_figures.name, f'tier:{class_figures.tier}'):
            return float(getattr(class_figures, expectation.measure))
    return 0.0


def _apply_step(context: FaultContext, step: FaultStep) -> None:
    FAULTS.get(step.do)(context, step)
