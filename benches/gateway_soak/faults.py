"""The faults of a soak."""

from __future__ import annotations

import asyncio
import signal
from typing import TYPE_CHECKING

from benches.gateway_soak.proxy import Harm
from savorychute.registry import Registry

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from benches.gateway_soak.endpoint import SoakEndpoint
    from benches.gateway_soak.proxy import Proxy
    from benches.gateway_soak.site import GatewayProcess, Site

FAULTS: Registry[Callable[[Site], Awaitable[None]]] = Registry('fault')
LONGEST_S = 3.0


def _gateway(site: Site) -> GatewayProcess:
    return site.rng.choice(site.gateways)


def _endpoint(site: Site) -> SoakEndpoint:
    return site.rng.choice(site.endpoints)


async def _rest(site: Site) -> None:
    await asyncio.sleep(0.2 + site.rng.random() * LONGEST_S)


async def _harm(site: Site, proxies: list[Proxy], harm: Harm) -> None:
    for proxy in proxies:
        proxy.change(harm)
        if harm is Harm.REFUSE:
            proxy.reset_all()
    await _rest(site)
    for proxy in proxies:
        proxy.change(Harm.NONE)
        if harm is Harm.SILENT:
            proxy.reset_all()


@FAULTS.register('kill')
async def kill(site: Site) -> None:
    """Kill a gateway and start it again."""
    gateway = _gateway(site)
    gateway.send(signal.SIGKILL)
    await gateway.end()
    await gateway.start()


@FAULTS.register('kill-all')
async def kill_all(site: Site) -> None:
    """Kill all gateways at once."""
    for gateway in site.gateways:
        gateway.send(signal.SIGKILL)
    for gateway in site.gateways:
        await gateway.end()
        await gateway.start()


@FAULTS.register('stop')
async def stop(site: Site) -> None:
    """Stop a gateway gracefully, now and then twice, and start it again."""
    gateway = _gateway(site)
    gateway.send(signal.SIGTERM)
    if site.rng.random() < 0.3:
        gateway.send(signal.SIGTERM)
    await gateway.end()
    await gateway.start()


@FAULTS.register('pause')
async def pause(site: Site) -> None:
    """Freeze a gateway, and wake it."""
    gateway = _gateway(site)
    with site.ledger.out_of_touch():
        gateway.send(signal.SIGSTOP)
        await _rest(site)
        gateway.send(signal.SIGCONT)


@FAULTS.register('reload')
async def reload(site: Site) -> None:
    """Change a settings file, with and without a signal."""
    gateway = _gateway(site)
    gateway.change_settings(site.rng)
    if site.rng.random() < 0.5:
        gateway.send(signal.SIGHUP)


@FAULTS.register('store-cut')
async def cut_store(site: Site) -> None:
    """Harm the way of one gateway to the store."""
    harm = site.rng.choice([Harm.DELAY, Harm.SILENT, Harm.ANSWERS_LOST, Harm.REFUSE])
    with site.ledger.out_of_touch():
        await _harm(site, [_gateway(site).store], harm)


@FAULTS.register('store-down')
async def stop_store(site: Site) -> None:
    """Take the store away from everybody."""
    with site.ledger.out_of_touch():
        site.store.mode = site.rng.choice(['busy', 'silent', 'lossy'])
        await _rest(site)
        site.store.mode = 'up'


@FAULTS.register('store-forgets')
async def forget(site: Site) -> None:
    """Drop the history of a topic while it changes."""
    topic = site.rng.choice(['keyed.op', 'keyed.servers', 'keyed.instances'])
    site.write_configuration()
    site.store.topic(topic).forget()


@FAULTS.register('configuration')
async def configure(site: Site) -> None:
    """Publish configurations in quick succession."""
    for _ in range(site.rng.randint(1, 5)):
        site.write_configuration()
        await asyncio.sleep(site.rng.random() * 0.2)


@FAULTS.register('endpoint-cut')
async def cut_endpoint(site: Site) -> None:
    """Harm the way to one endpoint."""
    proxy = _endpoint(site).proxy
    assert proxy is not None
    harm = site.rng.choice([Harm.DELAY, Harm.SILENT, Harm.ANSWERS_LOST, Harm.REFUSE])
    await _harm(site, [proxy], harm)


@FAULTS.register('reset')
async def reset(site: Site) -> None:
    """Reset all connections to one endpoint."""
    proxy = _endpoint(site).proxy
    assert proxy is not None
    proxy.reset_all()


@FAULTS.register('grey')
async def turn_grey(site: Site) -> None:
    """Let an endpoint break off some of its answers."""
    endpoint = _endpoint(site)
    endpoint.grey = 0.4
    await _rest(site)
    endpoint.grey = 0.0


@FAULTS.register('full')
async def fill(site: Site) -> None:
    """Let an endpoint refuse what it gets."""
    endpoint = _endpoint(site)
    endpoint.full = True
    await _rest(site)
    endpoint.full = False


@FAULTS.register('crash')
async def crash(site: Site) -> None:
    """Crash an endpoint; another run comes, the old entry lapses later."""
    endpoint = _endpoint(site)
    endpoint.crashed = True
    assert endpoint.proxy is not None
    endpoint.proxy.reset_all()
    await site.add_endpoint(endpoint.service)
    await asyncio.sleep(1.0)
    site.remove_entry(endpoint)


@FAULTS.register('drain')
async def drain(site: Site) -> None:
    """Replace an endpoint: the new one comes first, the old one says that it leaves."""
    endpoint = _endpoint(site)
    await site.add_endpoint(endpoint.service)
    if endpoint.drained_s is None and not endpoint.crashed:
        endpoint.drained_s = asyncio.get_running_loop().time()
        site.write_entry(endpoint)
    await asyncio.sleep(4.0)
    site.remove_entry(endpoint)


@FAULTS.register('address-reuse')
async def reuse_address(site: Site) -> None:
    """Let an address serve another run, while the old entry is still listed."""
    endpoint = _endpoint(site)
    endpoint.name, old = f'{endpoint.name}r', endpoint.name
    site.write_entry(endpoint)
    await asyncio.sleep(site.rng.random())
    site.store.put('keyed.servers', old, None)
