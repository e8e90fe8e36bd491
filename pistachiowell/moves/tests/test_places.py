"""A bad version is found although the old one runs in a single data centre.

Excluding that data centre would leave no answers of the old version to compare with;
this must not hide the bad version.
"""

from pistachiowell.moves.evidence import Answer, Evidence
from pistachiowell.moves.judges import Spread, find_judge


def test_old_version_in_one_data_centre_does_not_hide_a_bad_new_one():
    evidence = Evidence(0.0)
    evidence.add(Answer(False, "old-1", "osu"), 1.0, 200)
    evidence.add(Answer(True, "new-1", "osu", failed=True), 1.0, 20)
    evidence.add(Answer(True, "new-2", "tema", failed=True), 1.0, 10)
    assert find_judge("sequential")(evidence, 2.0, Spread(2, 2)).is_bad
