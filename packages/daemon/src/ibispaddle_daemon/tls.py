"""TLS contexts of an instance, and checks of the files they are created from."""

import ssl
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path

from ibispaddle_core.checks import CheckMessage, Severity
from ibispaddle_core.membership import MemberKind
from ibispaddle_core.settings import InstanceSettings, TlsSettings

# Errors of a non-blocking TLS socket that mean "try again". They must be caught by class, because
# their `errno` values belong to the TLS library and collide with unrelated ones of the system.
TLS_WANT_ERRORS = (ssl.SSLWantReadError, ssl.SSLWantWriteError)
HTTP = "http"


@dataclass(frozen=True)
class PeerContexts:
    """Hold the client and server contexts of connections between instances."""

    client: ssl.SSLContext
    server: ssl.SSLContext


def listener_context(settings: InstanceSettings) -> ssl.SSLContext | None:
    """Return the TLS context of the HTTP listener, or None if it does not use TLS."""
    if settings.tls is None:
        return None
    context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
    _load_certificate(context, settings.tls)
    return context


def upstream_scheme(settings: InstanceSettings, kind: MemberKind) -> str:
    """Return the URL scheme of an upstream kind, which selects the TLS context of a call.

    >>> upstream_scheme(settings, MemberKind.RUNNER)  # doctest: +SKIP
    'https+runner'
    """
    tls = settings.runner_tls if kind is MemberKind.RUNNER else settings.service_tls
    return HTTP if tls is None else f"https+{kind}"


def call_contexts(settings: InstanceSettings) -> dict[str, ssl.SSLContext]:
    """Return the TLS contexts of HTTP calls by URL scheme."""
    contexts = {}
    for kind, tls in (
        (MemberKind.RUNNER, settings.runner_tls),
        (MemberKind.SERVICE, settings.service_tls),
    ):
        if tls is not None:
            context = ssl.create_default_context(ssl.Purpose.SERVER_AUTH, cafile=tls.ca_file)
            # With renegotiation, a write might have to wait for a read.
            context.options |= ssl.OP_NO_RENEGOTIATION
            contexts[upstream_scheme(settings, kind)] = context
    return contexts


def peer_contexts(settings: InstanceSettings) -> PeerContexts | None:
    """Return the TLS contexts of connections between instances.

    Both sides need a certificate of the operators' certificate authority. Host names are not
    checked: an instance can be replaced at any time by one with another address, and the shared
    secret authenticates its id.
    """
    tls = settings.peer_tls
    if tls is None:
        return None
    dialling = ssl.create_default_context(ssl.Purpose.SERVER_AUTH, cafile=tls.ca_file)
    dialling.check_hostname = False
    accepting = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH, cafile=tls.ca_file)
    accepting.verify_mode = ssl.CERT_REQUIRED
    for context in (dialling, accepting):
        context.options |= ssl.OP_NO_RENEGOTIATION
        _load_certificate(context, tls)
    return PeerContexts(dialling, accepting)


def _load_certificate(context: ssl.SSLContext, tls: TlsSettings) -> None:
    # Without a password callback, OpenSSL would prompt for the password of an encrypted key.
    context.load_cert_chain(tls.certificate_file, tls.key_file, password=lambda: "")


def check_files(settings: InstanceSettings, source: str) -> list[CheckMessage]:
    """Check the files that the settings refer to."""
    messages = []
    for path, name in _files(settings):
        try:
            Path(name).read_bytes()
        except OSError as exc:
            text = f"The file '{name}' cannot be read: {exc.strerror}."
            hint = "Give the path of a file that the user of the process can read."
            messages.append(CheckMessage("tls.E001", Severity.ERROR, text, hint, source, path))
    return messages or list(_check_contexts(settings, source))


def _files(settings: InstanceSettings) -> Iterator[tuple[str, str]]:
    for setting in ("tls", "runner_tls", "service_tls", "peer_tls"):
        tls = getattr(settings, setting)
        if tls is not None:
            for name, value in tls.to_document().items():
                yield f"$.{setting}.{name}", value
    if settings.peer_secret_file:
        yield "$.peer_secret_file", settings.peer_secret_file


def _check_contexts(settings: InstanceSettings, source: str) -> Iterator[CheckMessage]:
    context_factories = {
        "tls": listener_context,
        "runner_tls": lambda s: call_contexts(s.replace(service_tls=None)),
        "service_tls": lambda s: call_contexts(s.replace(runner_tls=None)),
        "peer_tls": peer_contexts,
    }
    for setting, create_contexts in context_factories.items():
        try:
            create_contexts(settings)
        except ssl.SSLError as exc:
            yield CheckMessage(
                "tls.E002",
                Severity.ERROR,
                f"The files of '{setting}' cannot be used: {exc.reason or exc}.",
                "Give PEM files: certificates with the authority last, and the unencrypted key"
                " of the first certificate.",
                source,
                f"$.{setting}",
            )
