"""A randomised soak test of gateway processes with faults injected from outside.

``python -m benches.gateway_soak --seed 7`` runs one seed; ``--seeds 50`` runs 50 seeds.
It records what callers sent and what endpoints ran, and checks the guarantees of the
gateways against these records.
"""

from __future__ import annotations

import sys
from pathlib import Path

# The stand-ins of the platform's store and of callers are those of the tests.
sys.path.append(str(Path(__file__).parents[2] / 'tests' / 'test_fleet'))
