"""Registries of policy classes, filled by decorators."""

from pistachiowell.core.errors import SettingsInvalid


class Registry:
    """Maps the names in settings to policy classes.

    Args:
        topic: Kind of the policies, for error messages.

    Examples:
        >>> registry = Registry("limit")
        >>> @registry.add("none")
        ... class NoLimit:
        ...     pass
        >>> registry.find("none").__name__
        'NoLimit'
    """

    __slots__ = ("_classes", "_topic")

    def __init__(self, topic):
        self._topic = topic
        self._classes = {}

    def __iter__(self):
        return iter(self._classes)

    def add(self, name):
        """Returns a decorator that registers a class under a name."""

        def decorate(cls):
            self._classes[name] = cls
            return cls

        return decorate

    def find(self, name):
        """Returns the class registered under a name.

        Raises:
            SettingsInvalid: No policy has that name.
        """
        if name not in self._classes:
            known = ", ".join(sorted(self._classes))
            raise SettingsInvalid(f"No {self._topic} is named {name!r}; use {known}.")
        return self._classes[name]
