"""Starts of a fleet of real processes.

Guards against a start that waits to its limit for a program that has ended, and hides
why it has.
"""

import pytest

from pistachiowell.platform.standin_documents import soak_configuration
from pistachiowell.soak.program_processes import ProgramEndedError

pytestmark = pytest.mark.anyio


async def test_start_waits_to_its_limit_for_a_program_that_has_ended(start_fleet):
    ended = pytest.RaisesExc(ProgramEndedError, match="gate-1 has ended")
    with pytest.RaisesGroup(ended, flatten_subgroups=True):
        async with start_fleet(soak_configuration(None), [], {"no_such_setting": 1}):
            pass
