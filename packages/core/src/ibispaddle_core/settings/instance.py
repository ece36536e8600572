"""Settings of one instance, read from its local file at start."""

from pydantic import Field

from .base import SettingsModel


class TlsSettings(SettingsModel):
    """Certificate and key files of a listener."""

    certificate_file: str = Field(description="PEM file with the certificate chain.")
    key_file: str = Field(description="PEM file with the private key.")


class UpstreamTlsSettings(SettingsModel):
    """TLS towards upstreams of one kind."""

    ca_file: str = Field(
        description="PEM file with the authorities; a certificate has to name the upstream's IP."
    )


class PeerTlsSettings(TlsSettings):
    """Mutual TLS between instances."""

    ca_file: str = Field(description="PEM file with the operators' authority for instances.")


class InstanceSettings(SettingsModel):
    """What an instance has to know before it can read the log."""

    instance_id: str = Field(pattern=r"^[A-Za-z0-9_.]{1,64}$", description="Unique id.")
    data_centre: str = Field(min_length=1, description="Data centre the instance runs in.")
    site: str = Field("", description="Site whose overlay applies; empty: the data centre's name.")
    roles: tuple[str, ...] = Field(("entry",), strict=False, description="Roles of the process.")
    listen: str = Field("127.0.0.1:8080", description="Address of the HTTP listener, IP:PORT.")
    peer_listen: str = Field("127.0.0.1:8081", description="Address for other instances, IP:PORT.")
    log_url: str = Field(description="Base URL of the platform's log.")
    list_url: str = Field(description="Base URL of the platform's instance list.")
    trace_url: str = Field("", description="Base URL of the trace collector; empty: none.")
    peer_secret_file: str = Field(
        "", description="File with the secret that instances share; empty: no authentication."
    )
    base_file: str = Field(
        "", description="Base configuration that is used while the log is empty."
    )
    overlay_file: str = Field("", description="Site overlay that is used while the log is empty.")
    list_poll_interval_ms: int = Field(
        500, ge=50, le=60_000, description="Interval between readings of the instance list."
    )
    probe_interval_ms: int = Field(
        500, ge=50, le=60_000, description="Interval between load probes of one runner."
    )
    gossip_interval_ms: int = Field(
        500, ge=50, le=60_000, description="Interval between digests to other instances."
    )
    claim_batch_interval_ms: int = Field(
        50,
        ge=5,
        le=5_000,
        description="Shortest time between two appends of claims to one stream; twice as long from 10 instances that use it.",
    )
    claim_window_ms: int = Field(3_600_000, ge=1_000, description="How long claims are kept.")
    usage_flush_interval_ms: int = Field(
        2_000,
        ge=100,
        le=600_000,
        description="Shortest time between two appends of usage counters.",
    )
    log_retention_ms: int = Field(
        86_400_000, ge=10_000, description="How long the platform's log keeps records."
    )
    drain_timeout_ms: int = Field(30_000, ge=0, description="Bound of a planned stop.")
    tls: TlsSettings | None = Field(None, description="TLS of the HTTP listener; null: none.")
    runner_tls: UpstreamTlsSettings | None = Field(
        None, description="TLS towards runners; null: none."
    )
    service_tls: UpstreamTlsSettings | None = Field(
        None, description="TLS towards services; null: none."
    )
    peer_tls: PeerTlsSettings | None = Field(
        None, description="TLS between instances, the same for all of them; null: none."
    )

    @property
    def site_name(self) -> str:
        """Return the site whose overlay applies."""
        return self.site or self.data_centre
