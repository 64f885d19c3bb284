"""A start loads no certificates, and restores the state of the process."""

from __future__ import annotations

import subprocess
import sys

LOAD_SCRIPT = """
import gc, os
os.environ["SSL_CERT_DIR"] = "/somewhere"
os.environ.pop("SSL_CERT_FILE", None)
from opalgauge.lifecycle.imports import fast_imports
with fast_imports():
    import opalgauge.lifecycle.service
import aiohttp.connector
print(aiohttp.connector._SSL_CONTEXT_VERIFIED.cert_store_stats()["x509"], gc.isenabled(),
      os.environ.get("SSL_CERT_FILE"), os.environ["SSL_CERT_DIR"])
"""


def test_fast_imports_reads_no_certificates_and_restores_the_process_state() -> None:
    # Loading them took a fifth of the CPU of a start, for which a killed fleet has to wait.
    output = subprocess.run(
        [sys.executable, "-c", LOAD_SCRIPT], capture_output=True, text=True, check=True
    ).stdout
    assert output.split() == ["0", "True", "None", "/somewhere"]


def test_the_entry_point_uses_fast_imports() -> None:
    with open("opalgauge/__main__.py") as file:
        assert "with fast_imports():\n        from opalgauge.lifecycle.service import main" in file.read()
