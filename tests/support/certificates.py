"""Certificates for tests, created with the openssl 3 command."""

import ssl
import subprocess
from pathlib import Path


def run_openssl(*args: object) -> None:
    """Run openssl with arguments; raise an exception if it fails."""
    subprocess.run(["openssl", *map(str, args)], check=True, capture_output=True)


class CertificateAuthority:
    """Sign certificates; the files are written to a folder of the test."""

    def __init__(self, folder: Path, name: str) -> None:
        self.file, self._key = folder / f"{name}.pem", folder / f"{name}.key"
        self._create_certificate(self.file, self._key, "-subj", f"/CN={name}")

    def sign(self, name: str, ip: str = "127.0.0.1") -> tuple[str, str]:
        """Create a certificate for an IP address; return the paths of the certificate and its key."""
        cert = self.file.with_name(f"{self.file.stem}-{name}.pem")
        key = cert.with_suffix(".key")
        signer = ("-CA", self.file, "-CAkey", self._key, "-addext", "basicConstraints=CA:FALSE")
        names = ("-subj", f"/CN={name}", "-addext", f"subjectAltName=IP:{ip}")
        self._create_certificate(cert, key, *signer, *names)
        return str(cert), str(key)

    @staticmethod
    def _create_certificate(cert: Path, key: Path, *options: object) -> None:
        request = ("req", "-x509", "-newkey", "rsa:2048", "-nodes", "-days", 2)
        run_openssl(*request, "-keyout", key, "-out", cert, *options)


def upstream_contexts(folder: Path) -> tuple[ssl.SSLContext, ssl.SSLContext]:
    """Return the contexts of an upstream and of a client that trusts it."""
    authority = CertificateAuthority(folder, "operators")
    server = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
    server.load_cert_chain(*authority.sign("upstream"))
    return server, ssl.create_default_context(cafile=str(authority.file))
