"""Resources of the platform's API as JSON documents.

The API has the shape of the Kubernetes resource API: an object has metadata with
an opaque ``resourceVersion`` and a ``spec``, which holds the stored value.
"""

import msgspec

API_VERSION = "pistachiowell.io/v1"
BASE_PATH = f"/apis/{API_VERSION}"


class Metadata(msgspec.Struct, frozen=True, rename="camel", omit_defaults=True):
    """Metadata of an object or a list.

    Attributes:
        name: Name of the object; empty for a list.
        resource_version: Version as decimal text; empty for an object to be created.
    """

    name: str = ""
    resource_version: str = ""


class Resource(msgspec.Struct, frozen=True, rename="camel"):
    """One object.

    Attributes:
        metadata: Name and version.
        spec: The value as a JSON document.
        api_version: Version of the API.
        kind: Collection of the object.
    """

    metadata: Metadata
    spec: msgspec.Raw = msgspec.Raw(b"null")
    api_version: str = API_VERSION
    kind: str = ""


class ResourceList(msgspec.Struct, frozen=True, rename="camel"):
    """All objects of a collection at one version."""

    metadata: Metadata
    items: list[Resource] = []


class WatchEvent(msgspec.Struct, frozen=True):
    """One line of the answer to a watch.

    Attributes:
        type: ``ADDED``, ``MODIFIED``, ``DELETED`` or ``ERROR``.
        object: A ``Resource``; for ``ERROR`` a ``Status``.
    """

    type: str
    object: msgspec.Raw


class Status(msgspec.Struct, frozen=True):
    """Body of an error response."""

    code: int
    reason: str = ""
    message: str = ""
    kind: str = "Status"


class Preconditions(msgspec.Struct, frozen=True, rename="camel"):
    """Version that an object must still have to be deleted."""

    resource_version: str


class DeleteOptions(msgspec.Struct, frozen=True):
    """Body of a DELETE request."""

    preconditions: Preconditions
