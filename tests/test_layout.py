"""Who may import whom, as the folders promise, and that no modules import each other in a circle."""

from __future__ import annotations

import ast
from collections.abc import Iterator
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
# What is left out of a package's row may not be imported by it. Its edge may also import what stands second.
CORE: dict[str, set[str]] = {
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
EDGE: dict[str, tuple[set[str], set[str]]] = {  # its modules, and what these may import besides
    "console": ({"endpoint", "ban_file"}, {"wire"}),
    "zones": ({"driver"}, {"wire"}),
    "leases": ({"driver"}, {"wire"}),
    "replica": ({"driver"}, {"wire"}),
    "cores": ({"supervisor", "worker", "__main__"}, {"wire", "lifecycle"}),
    "lab": ({"skewed_clock"}, {"cli"}),  # it is the command line, with a clock that is wrong
}


def modules() -> dict[str, Path]:
    found = {}
    for path in [*ROOT.glob("opalgauge/**/*.py"), *ROOT.glob("starlinggap/*.py")]:
        name = ".".join(path.relative_to(ROOT).with_suffix("").parts)
        found[name.removesuffix(".__init__")] = path
    return found


MODULES = modules()


def imports(name: str) -> Iterator[str]:
    """Our own modules that one imports, wherever in it that stands."""
    for node in ast.walk(ast.parse(MODULES[name].read_text())):
        if isinstance(node, ast.ImportFrom) and node.module:
            told = [f"{node.module}.{a.name}" for a in node.names]
            yield from (t if t in MODULES else node.module for t in told)
        elif isinstance(node, ast.Import):
            yield from (a.name for a in node.names)


def package(name: str) -> str:
    first, _, rest = name.partition(".")
    return rest.partition(".")[0] if first == "opalgauge" else first


def ours(name: str) -> bool:
    return name.partition(".")[0] in ("opalgauge", "starlinggap")


@pytest.mark.parametrize("name", sorted(n for n in MODULES if package(n) in CORE))
def test_a_module_imports_only_what_its_folder_may(name: str) -> None:
    here = package(name)
    may = CORE[here] | {here}
    edge, besides = EDGE.get(here, (set(), set()))
    if name.rpartition(".")[2] in edge:
        may = may | besides
    assert {package(n) for n in imports(name) if ours(n)} <= may


def test_nobody_but_the_command_line_imports_the_laboratory() -> None:
    users = {package(name) for name in MODULES for other in imports(name) if package(other) == "lab"}
    assert users <= {"lab", "cli"}


def test_no_modules_import_each_other_in_a_circle() -> None:
    after = {name: {n for n in imports(name) if n in MODULES and n != name} for name in MODULES}
    while ends := [name for name, others in after.items() if not others]:
        for name in ends:
            del after[name]
        for others in after.values():
            others.difference_update(ends)
    # What is left imports only what is left: a circle, and whoever leads to one.
    assert after == {}
