"""Reads the evacuated data centres from the platform's objects.

There is one object for each. Its name alone names the data centre: whoever writes one
has evacuated it, whatever the content.
"""

COLLECTION = "evacuations"


def evacuated_data_centres(objects):
    """Returns the names of the evacuated data centres.

    Args:
        objects: Mapping from the objects' names to ``Entry`` or ``Change``.
    """
    return frozenset(objects)
