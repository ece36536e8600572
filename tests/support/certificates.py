"""Certificates for tests, made with the command openssl 3."""

import subprocess
from pathlib import Path


def openssl(*args: object) -> None:
    """Run openssl."""
    subprocess.run(["openssl", *map(str, args)], check=True, capture_output=True)


class CertificateAuthority:
    """Sign certificates; the files are in a folder of the test."""

    def __init__(self, folder: Path, name: str) -> None:
        self.file, self._key = folder / f"{name}.pem", folder / f"{name}.key"
        self._make(self.file, self._key, "-subj", f"/CN={name}")

    def sign(self, name: str, ip: str = "127.0.0.1") -> tuple[str, str]:
        """Return the files of a certificate for an IP address and of its key."""
        cert = self.file.with_name(f"{self.file.stem}-{name}.pem")
        key = cert.with_suffix(".key")
        signer = ("-CA", self.file, "-CAkey", self._key, "-addext", "basicConstraints=CA:FALSE")
        names = ("-subj", f"/CN={name}", "-addext", f"subjectAltName=IP:{ip}")
        self._make(cert, key, *signer, *names)
        return str(cert), str(key)

    @staticmethod
    def _make(cert: Path, key: Path, *options: object) -> None:
        made = ("req", "-x509", "-newkey", "rsa:2048", "-nodes", "-days", 2)
        openssl(*made, "-keyout", key, "-out", cert, *options)
