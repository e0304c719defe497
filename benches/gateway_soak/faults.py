"""The faults that the soak injects."""

from __future__ import annotations

import asyncio
import signal
from typing import TYPE_CHECKING

from benches.gateway_soak.ledger import VERSIONS
from benches.gateway_soak.proxy import ProxyFault
from savorychute.registry import Registry

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from benches.gateway_soak.endpoint import SoakEndpoint
    from benches.gateway_soak.proxy import Proxy
    from benches.gateway_soak.site import GatewayProcess, Site

FAULTS: Registry[Callable[[Site], Awaitable[None]]] = Registry('fault')
MAX_FAULT_S = 3.0


def _choose_gateway(site: Site) -> GatewayProcess:
    return site.rng.choice(site.gateways)


def _choose_endpoint(site: Site) -> SoakEndpoint:
    return site.rng.choice(site.endpoints)


async def _wait_random(site: Site) -> None:
    await asyncio.sleep(0.2 + site.rng.random() * MAX_FAULT_S)


async def _inject_proxy_fault(
    site: Site, proxies: list[Proxy], proxy_fault: ProxyFault
) -> None:
    for proxy in proxies:
        proxy.set_fault(proxy_fault)
        if proxy_fault is ProxyFault.REFUSE:
            proxy.reset_all()
    await _wait_random(site)
    for proxy in proxies:
        proxy.set_fault(ProxyFault.NONE)
        if proxy_fault is ProxyFault.SILENT:
            proxy.reset_all()


@FAULTS.register('kill')
async def kill(site: Site) -> None:
    """Kill a gateway and start it again."""
    gateway = _choose_gateway(site)
    gateway.send_signal(signal.SIGKILL)
    await gateway.wait_or_kill()
    await gateway.start()


@FAULTS.register('kill-all')
async def kill_all(site: Site) -> None:
    """Kill all gateways at once."""
    for gateway in site.gateways:
        gateway.send_signal(signal.SIGKILL)
    for gateway in site.gateways:
        await gateway.wait_or_kill()
        await gateway.start()


@FAULTS.register('stop')
async def stop(site: Site) -> None:
    """Stop a gateway gracefully, sometimes with two signals, and start it again."""
    gateway = _choose_gateway(site)
    gateway.send_signal(signal.SIGTERM)
    if site.rng.random() < 0.3:
        gateway.send_signal(signal.SIGTERM)
    await gateway.wait_or_kill()
    await gateway.start()


@FAULTS.register('pause')
async def pause(site: Site) -> None:
    """Suspend a gateway and resume it."""
    gateway = _choose_gateway(site)
    with site.ledger.store_unreachable():
        gateway.send_signal(signal.SIGSTOP)
        await _wait_random(site)
        gateway.send_signal(signal.SIGCONT)


@FAULTS.register('reload')
async def reload(site: Site) -> None:
    """Change a settings file, with and without a signal."""
    gateway = _choose_gateway(site)
    gateway.change_settings(site.rng)
    if site.rng.random() < 0.5:
        gateway.send_signal(signal.SIGHUP)


@FAULTS.register('store-cut')
async def disturb_store(site: Site) -> None:
    """Disturb the connections of one gateway to the store."""
    proxy_fault = site.rng.choice(
        [
            ProxyFault.DELAY,
            ProxyFault.SILENT,
            ProxyFault.ANSWERS_LOST,
            ProxyFault.REFUSE,
        ]
    )
    with site.ledger.store_unreachable():
        await _inject_proxy_fault(site, [_choose_gateway(site).store], proxy_fault)


@FAULTS.register('store-down')
async def make_store_unavailable(site: Site) -> None:
    """Make the store unavailable to all gateways."""
    with site.ledger.store_unreachable():
        site.set_store_mode(site.rng.choice(['busy', 'silent', 'lossy']))
        await _wait_random(site)
        site.set_store_mode('up')


@FAULTS.register('store-forgets')
async def drop_history(site: Site) -> None:
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
async def disturb_endpoint(site: Site) -> None:
    """Disturb the connections to one endpoint."""
    proxy = _choose_endpoint(site).proxy
    assert proxy is not None
    proxy_fault = site.rng.choice(
        [
            ProxyFault.DELAY,
            ProxyFault.SILENT,
            ProxyFault.ANSWERS_LOST,
            ProxyFault.REFUSE,
        ]
    )
    await _inject_proxy_fault(site, [proxy], proxy_fault)


@FAULTS.register('reset')
async def reset(site: Site) -> None:
    """Reset all connections to one endpoint."""
    proxy = _choose_endpoint(site).proxy
    assert proxy is not None
    proxy.reset_all()


@FAULTS.register('grey')
async def abort_responses(site: Site) -> None:
    """Let an endpoint abort a share of its responses."""
    endpoint = _choose_endpoint(site)
    endpoint.abort_share = 0.4
    await _wait_random(site)
    endpoint.abort_share = 0.0


@FAULTS.register('full')
async def overload(site: Site) -> None:
    """Let an endpoint refuse all requests."""
    endpoint = _choose_endpoint(site)
    endpoint.is_full = True
    await _wait_random(site)
    endpoint.is_full = False


@FAULTS.register('crash')
async def crash(site: Site) -> None:
    """Crash an endpoint and start a new run; the old entry is removed 1 s later."""
    endpoint = _choose_endpoint(site)
    endpoint.crashed = True
    assert endpoint.proxy is not None
    endpoint.proxy.reset_all()
    await site.add_endpoint(endpoint.service, endpoint.version)
    await asyncio.sleep(1.0)
    site.remove_entry(endpoint)


@FAULTS.register('drain')
async def drain(site: Site) -> None:
    """Start a replacement for an endpoint, then announce that the old one drains."""
    endpoint = _choose_endpoint(site)
    await site.add_endpoint(endpoint.service, endpoint.version)
    await _drain(site, endpoint)


async def _drain(site: Site, endpoint: SoakEndpoint) -> None:
    """Announce that an endpoint drains, and remove its entry later."""
    if endpoint.drain_started_s is None and not endpoint.crashed:
        endpoint.drain_started_s = asyncio.get_running_loop().time()
        site.write_entry(endpoint)
    await asyncio.sleep(4.0)
    site.remove_entry(endpoint)


@FAULTS.register('release')
async def release(site: Site) -> None:
    """Replace endpoints by those of another version, one after the other."""
    site.newest_version = site.rng.choice(VERSIONS)
    for old in [each for each in site.endpoints if each.service == 'pool'][:2]:
        await site.add_endpoint('pool')
        await asyncio.sleep(site.rng.random())
        await _drain(site, old)


@FAULTS.register('address-reuse')
async def reuse_address(site: Site) -> None:
    """Serve a new run at the address of an endpoint whose entry is still listed."""
    endpoint = _choose_endpoint(site)
    endpoint.name, old_name = f'{endpoint.name}r', endpoint.name
    endpoint.version = site.rng.choice(VERSIONS)
    site.write_entry(endpoint)
    await asyncio.sleep(site.rng.random())
    site.store.put('keyed.servers', old_name, None)
