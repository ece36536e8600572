"""Settings of one instance, read from its local file at start."""

from typing import Annotated

from msgspec import Meta

from .base import SettingsModel

MAX_INSTANCE_ID_LENGTH = 64


class TlsSettings(SettingsModel, frozen=True, kw_only=True):
    """Certificate and key files of a listener."""

    certificate_file: Annotated[str, Meta(description="PEM file with the certificate chain.")]
    key_file: Annotated[str, Meta(description="PEM file with the private key.")]


class UpstreamTlsSettings(SettingsModel, frozen=True, kw_only=True):
    """TLS for connections to upstreams of one kind."""

    ca_file: Annotated[
        str,
        Meta(
            description="PEM file with the CA certificates; an upstream's certificate must contain its IP address."
        ),
    ]


class PeerTlsSettings(TlsSettings, frozen=True, kw_only=True):
    """Mutual TLS between instances."""

    ca_file: Annotated[
        str,
        Meta(description="PEM file with the CA certificate that the operators use for instances."),
    ]


class InstanceSettings(SettingsModel, frozen=True, kw_only=True):
    """Settings that an instance needs before it can read the log."""

    instance_id: Annotated[
        str,
        Meta(pattern=rf"^[A-Za-z0-9_.]{{1,{MAX_INSTANCE_ID_LENGTH}}}$", description="Unique id."),
    ]
    data_centre: Annotated[str, Meta(min_length=1, description="Data centre the instance runs in.")]
    site: Annotated[
        str, Meta(description="Site whose overlay applies; empty: the data centre's name.")
    ] = ""
    roles: Annotated[tuple[str, ...], Meta(description="Roles of the process.")] = ("entry",)
    listen: Annotated[str, Meta(description="Address of the HTTP listener, IP:PORT.")] = (
        "127.0.0.1:8080"
    )
    peer_listen: Annotated[
        str, Meta(description="Address of the listener for other instances, IP:PORT.")
    ] = "127.0.0.1:8081"
    log_url: Annotated[str, Meta(description="Base URL of the platform's log.")]
    list_url: Annotated[str, Meta(description="Base URL of the platform's instance list.")]
    trace_url: Annotated[str, Meta(description="Base URL of the trace collector; empty: none.")] = (
        ""
    )
    peer_secret_file: Annotated[
        str,
        Meta(description="File with the shared secret of the instances; empty: no authentication."),
    ] = ""
    base_file: Annotated[
        str, Meta(description="File with the base configuration to use while the log is empty.")
    ] = ""
    overlay_file: Annotated[
        str, Meta(description="File with the site overlay to use while the log is empty.")
    ] = ""
    list_poll_interval_ms: Annotated[
        int, Meta(ge=50, le=60_000, description="Interval between readings of the instance list.")
    ] = 500
    probe_interval_ms: Annotated[
        int, Meta(ge=50, le=60_000, description="Interval between load probes of one runner.")
    ] = 500
    gossip_interval_ms: Annotated[
        int, Meta(ge=50, le=60_000, description="Interval between digests to other instances.")
    ] = 500
    claim_batch_interval_ms: Annotated[
        int,
        Meta(
            ge=5,
            le=5_000,
            description="Minimum interval between two appends of claims to one stream; doubled if 10 or more instances use it.",
        ),
    ] = 50
    claim_window_ms: Annotated[
        int, Meta(ge=1_000, description="Time for which claims are kept.")
    ] = 3_600_000
    usage_flush_interval_ms: Annotated[
        int,
        Meta(
            ge=100,
            le=600_000,
            description="Minimum interval between two appends of usage counters.",
        ),
    ] = 2_000
    log_retention_ms: Annotated[
        int, Meta(ge=10_000, description="Time for which the platform's log keeps records.")
    ] = 86_400_000
    drain_timeout_ms: Annotated[
        int, Meta(ge=0, description="Maximum duration of a planned stop.")
    ] = 30_000
    memory_mb: Annotated[
        Annotated[int, Meta(ge=64)] | None,
        Meta(
            description="Memory that the process may use, MB; bounds what is held for slow callers and upstreams. null: 1,600."
        ),
    ] = None
    max_unread_response_bytes: Annotated[
        Annotated[int, Meta(ge=1_048_576)] | None,
        Meta(
            description="Response data held for all callers together, bytes; null: 0.18 of the memory."
        ),
    ] = None
    max_request_body_bytes: Annotated[
        Annotated[int, Meta(ge=1_048_576)] | None,
        Meta(
            description="Request bodies held for all callers together, bytes; null: 0.14 of the memory."
        ),
    ] = None
    tls: Annotated[
        TlsSettings | None, Meta(description="TLS of the HTTP listener; null: none.")
    ] = None
    runner_tls: Annotated[
        UpstreamTlsSettings | None, Meta(description="TLS for connections to runners; null: none.")
    ] = None
    service_tls: Annotated[
        UpstreamTlsSettings | None, Meta(description="TLS for connections to services; null: none.")
    ] = None
    peer_tls: Annotated[
        PeerTlsSettings | None,
        Meta(description="TLS between instances, the same for all of them; null: none."),
    ] = None

    @property
    def site_name(self) -> str:
        """Return the site whose overlay applies."""
        return self.site or self.data_centre
