"""A randomized soak of gateways as real processes, with faults from outside them.

``python -m benches.gateway_soak --seed 7`` plays one seed; ``--seeds 50`` the first fifty.
It knows what callers sent and what endpoints ran, and checks the promises from that.
"""
