"""A start loads no certificates, and leaves the process as it would have been."""

from __future__ import annotations

import subprocess
import sys

LOAD = """
import gc, os
os.environ["SSL_CERT_DIR"] = "/somewhere"
os.environ.pop("SSL_CERT_FILE", None)
from opalgauge.lifecycle.imports import lean
with lean():
    import opalgauge.lifecycle.service
import aiohttp.connector
print(aiohttp.connector._SSL_CONTEXT_VERIFIED.cert_store_stats()["x509"], gc.isenabled(),
      os.environ.get("SSL_CERT_FILE"), os.environ["SSL_CERT_DIR"])
"""


def test_a_start_reads_no_certificates_and_leaves_environment_and_collector_as_they_were() -> None:
    # Guards what a killed fleet waits for: reading them was a fifth of a start's CPU.
    said = subprocess.run([sys.executable, "-c", LOAD], capture_output=True, text=True, check=True).stdout
    assert said.split() == ["0", "True", "None", "/somewhere"]


def test_the_program_is_started_so() -> None:
    with open("opalgauge/__main__.py") as file:
        assert "with lean():\n        from opalgauge.lifecycle.service import main" in file.read()
