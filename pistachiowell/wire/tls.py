"""Mutual TLS on the links between the processes.

All processes have certificates of one private authority, and each end of a link accepts
only peers with such a certificate. Host names are not compared, because VMs are reached
by IP addresses and replaced at any time.

Certificates expire and are replaced while a process runs. The files are therefore
loaded again when they change; links that are already open keep the earlier certificate.
Invalid new files are logged and tried again at the next interval, so that a faulty
replacement does not end the process.
"""

import ssl
from pathlib import Path

import anyio

from pistachiowell.core.errors import SettingsInvalid
from pistachiowell.core.logs import part_logger

RELOAD_INTERVAL_S = 30.0

_log = part_logger("tls")


class LinkTls:
    """TLS contexts of one process, for both ends of its links.

    Args:
        settings: Settings with ``tls_cert_file``, ``tls_key_file`` and
            ``tls_ca_file``.

    Raises:
        SettingsInvalid: A file is missing or invalid.
    """

    __slots__ = ("_client", "_files", "_mtimes", "_server")

    def __init__(self, settings):
        self._files = (
            settings.tls_cert_file,
            settings.tls_key_file,
            settings.tls_ca_file,
        )
        self._server = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
        self._client = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
        self._client.check_hostname = False
        for context in (self._server, self._client):
            context.verify_mode = ssl.CERT_REQUIRED
            context.minimum_version = ssl.TLSVersion.TLSv1_3
        self._mtimes = None
        self.reload()

    @classmethod
    def from_settings(cls, settings):
        """Returns a ``LinkTls``, or None if the settings name no certificate."""
        return cls(settings) if settings.tls_cert_file else None

    @property
    def server(self):
        """Context of the accepting end."""
        return self._server

    @property
    def client(self):
        """Context of the connecting end."""
        return self._client

    def reload(self):
        """Loads the files if their modification times have changed, for new links.

        Returns:
            Whether they had changed.

        Raises:
            SettingsInvalid: A file is missing or invalid; the earlier ones stay in use.
        """
        certificate, key, authority = self._files
        try:
            mtimes = [Path(name).stat().st_mtime_ns for name in self._files]
            if mtimes == self._mtimes:
                return False
            for context in (self._server, self._client):
                context.load_cert_chain(certificate, key)
                context.load_verify_locations(authority)
        except (OSError, ssl.SSLError) as error:
            names = ", ".join(self._files)
            raise SettingsInvalid(
                f"TLS files {names} cannot be loaded: {error}."
            ) from error
        self._mtimes = mtimes
        return True

    async def reload_periodically(self):
        """Calls ``reload`` every ``RELOAD_INTERVAL_S`` until cancelled.

        An invalid file is logged and tried again at the next interval.
        """
        while True:
            await anyio.sleep(RELOAD_INTERVAL_S)
            try:
                if self.reload():
                    _log.info("Loaded new TLS certificates for new links.")
            except SettingsInvalid as error:
                _log.warning(
                    "TLS reload failed; the earlier certificates stay in use: {}", error
                )
