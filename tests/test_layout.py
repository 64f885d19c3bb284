"""Which packages may import each other, and that there are no import cycles."""

from __future__ import annotations

import ast
from collections.abc import Iterator
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
# The packages that each package may import. Its edge modules may also import the second set of EDGE_MODULES.
ALLOWED_IMPORTS: dict[str, set[str]] = {
    "starlinggap": set(),
    "memory": {"starlinggap"},
    "wire": {"memory", "starlinggap"},
    "console": {"memory"},
    "handover": {"memory", "starlinggap"},
    "zones": {"memory", "starlinggap"},
    "leases": {"memory", "starlinggap"},
    "replica": {"memory", "starlinggap"},
    "cores": {"memory", "starlinggap"},
    "lab": {"memory", "starlinggap", "wire", "zones", "leases", "replica", "lifecycle"},
}
EDGE_MODULES: dict[str, tuple[set[str], set[str]]] = {  # the modules, and what they may import besides
    "console": ({"endpoint", "ban_file"}, {"wire"}),
    "zones": ({"driver"}, {"wire"}),
    "leases": ({"driver"}, {"wire"}),
    "replica": ({"driver"}, {"wire"}),
    "cores": ({"supervisor", "worker", "__main__"}, {"wire", "lifecycle"}),
    "lab": ({"skewed_clock"}, {"cli"}),  # runs the command line with a skewed clock
}


def modules() -> dict[str, Path]:
    found = {}
    for path in [*ROOT.glob("opalgauge/**/*.py"), *ROOT.glob("starlinggap/*.py")]:
        name = ".".join(path.relative_to(ROOT).with_suffix("").parts)
        found[name.removesuffix(".__init__")] = path
    return found


MODULES = modules()


def imports(name: str) -> Iterator[str]:
    """Yields the project's modules that a module imports, at any place in it."""
    for node in ast.walk(ast.parse(MODULES[name].read_text())):
        if isinstance(node, ast.ImportFrom) and node.module:
            candidates = [f"{node.module}.{a.name}" for a in node.names]
            yield from (t if t in MODULES else node.module for t in candidates)
        elif isinstance(node, ast.Import):
            yield from (a.name for a in node.names)


def package(name: str) -> str:
    first, _, rest = name.partition(".")
    return rest.partition(".")[0] if first == "opalgauge" else first


def is_project_module(name: str) -> bool:
    return name.partition(".")[0] in ("opalgauge", "starlinggap")


@pytest.mark.parametrize("name", sorted(n for n in MODULES if package(n) in ALLOWED_IMPORTS))
def test_a_module_imports_only_allowed_packages(name: str) -> None:
    own_package = package(name)
    allowed = ALLOWED_IMPORTS[own_package] | {own_package}
    edge, extra = EDGE_MODULES.get(own_package, (set(), set()))
    if name.rpartition(".")[2] in edge:
        allowed = allowed | extra
    assert {package(n) for n in imports(name) if is_project_module(n)} <= allowed


def test_only_the_command_line_imports_the_lab() -> None:
    importers = {package(name) for name in MODULES for other in imports(name) if package(other) == "lab"}
    assert importers <= {"lab", "cli"}


def test_there_are_no_import_cycles() -> None:
    remaining = {name: {n for n in imports(name) if n in MODULES and n != name} for name in MODULES}
    while leaves := [name for name, others in remaining.items() if not others]:
        for name in leaves:
            del remaining[name]
        for others in remaining.values():
            others.difference_update(leaves)
    # What remains are the cycles, and modules that import from one.
    assert remaining == {}
