"""Choice of an endpoint for each request, and refusal of requests under overload.

The modules here do no I/O and depend on no host; they work on request requirements,
load reports and times.  Comments refer to the requests of one installation as examples:
chats and diagnoses are streams of the most urgent tier, notes belong to the next tier,
and summaries, which have the longest prompts, to the last.

* ``endpoint_search`` searches the endpoints for one request;
* ``chooser`` and its variants determine which endpoint is best;
* ``partition_demand`` and ``engine_partition`` keep latency-sensitive streams on
  engines of their own, away from long prompts;
* ``home_ranking`` sends requests that share a prompt to one engine;
* ``report_selection`` determines which engines are asked for their load first;
* ``engine_state`` and ``wait_forecast`` evaluate an engine's load for a given rank;
* ``engine_model`` predicts the behaviour of engines from observations;
* ``rank_limits`` and ``recent_shares`` determine the share of a rank's requests that is
  refused because of an engine's load;
* ``shortages`` tracks tiers that are not served, so that lower tiers are shed;
* ``overload_guard`` refuses requests that no engine could serve in time.
"""

from __future__ import annotations

import importlib

CHOOSER_MODULES = ('least_outstanding', 'prompt_cache')


def load_choosers() -> None:
    """Import the modules that register choosers."""
    for name in CHOOSER_MODULES:
        importlib.import_module(f'{__name__}.{name}')
