"""Model of the load reports between gateways and an agent.

Guards against reports that repeat what a gateway has been told, which fill the network
links of agents and small gateways.
"""

from pistachiowell.bench.load_reports import measure


def test_reports_of_changes_take_a_quarter_of_the_bytes():
    whole = measure(40, 160, reads_load_changes=False)
    changes = measure(40, 160, reads_load_changes=True)
    assert changes["agent: kB/s"] < 0.25 * whole["agent: kB/s"]
