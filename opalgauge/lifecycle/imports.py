"""Loading the program with less: what a start spends on things that serving never uses.

A start costs about half a second of CPU, nearly all of it imports, and a fleet that is killed at once pays it
for each ingress while nobody serves. This module loads nothing but the standard library's smallest parts.
"""

from __future__ import annotations

import contextlib
import gc
import os
from collections.abc import Iterator

NO_CERTIFICATES = {"SSL_CERT_FILE": os.devnull, "SSL_CERT_DIR": os.devnull}


@contextlib.contextmanager
def fast_imports() -> Iterator[None]:
    """For the time of the imports: no certificates are read and no garbage is looked for.

    aiohttp's client reads all certificates of the machine when it is imported, a fifth of a start, and every
    connection of an ingress is plain TCP. Modules being loaded leave next to no garbage, and looking for it
    costs a tenth. Both are as before afterwards.
    """
    previous = {name: os.environ.get(name) for name in NO_CERTIFICATES}
    gc_was_enabled = gc.isenabled()
    os.environ.update(NO_CERTIFICATES)
    gc.disable()
    try:
        yield
    finally:
        if gc_was_enabled:
            gc.enable()
        for name, value in previous.items():
            if value is None:
                del os.environ[name]
            else:
                os.environ[name] = value
