"""The settings file: error messages, the config that a valid file gives, and what a reload changes."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import subprocess
import sys
import tempfile
from datetime import timedelta
from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from opalgauge.lifecycle import settings_file
from opalgauge.lifecycle.config import ConfigError, make_config
from opalgauge.lifecycle.directives import DIRECTIVES
from opalgauge.lifecycle.sources import FileSource
from starlinggap import interface
from tests import harness

VALID_FILE = """
listen 127.0.0.1:5000
stock-node s-1 127.0.0.1:7001
kind stock-check repeat=safe aim=400ms deadline=1200ms worth=2
kind place-order repeat=never aim=800ms deadline=3s worth=5
tariff negoce rate=90/m burst=30 price=1.6  # a comment
"""


def parse(text: str, **included: str) -> settings_file.DaemonSettings:
    files = {"main.conf": text, **{k.replace("_", "."): v for k, v in included.items()}}

    def read(path: Path) -> str:
        if path.name not in files:
            raise FileNotFoundError(2, "No such file", str(path))
        return files[path.name]

    return settings_file.parse(Path("main.conf"), read)


def test_a_minimal_file_gives_a_complete_config() -> None:
    config = make_config(settings_file.to_platform_config(parse(VALID_FILE)), {})
    assert config.listen == ("127.0.0.1", 5000)
    assert [n.address for n in config.ingress.known_servers] == ["127.0.0.1:7001"]
    assert config.ingress.settings.plans[0].rate == pytest.approx(1.5)
    assert config.ingress.settings.classes[1].deadline == 3.0
    assert not config.ingress.settings.use_counter and not config.ingress.server_list_address


INVALID_FILES = {
    "an unknown directive": ("worker 4", "main.conf:1: unknown directive 'worker'; did you mean workers?"),
    "a number that is none": ("workers four", "main.conf:1: workers: 'four' cannot be used"),
    "no unit": ("stall-after 400", "main.conf:1: stall-after: '400' cannot be used; it takes a duration"),
    "a name for an address": ("counter redis:6379", "main.conf:1: counter: 'redis:6379' cannot be used"),
    "too many words": ("name a b", "main.conf:1: name takes 1 word(s), not 2"),
    "no word": ("name", "main.conf:1: name takes 1 word(s), not 0"),
    "said twice": ("name a\nname b", "main.conf:2: name is already set at main.conf:1; keep one"),
    "an open quote": ('name "a', "main.conf:1: no closing quotation; quotes come in pairs"),
    "an unknown option": (
        "tariff t rate=1/s burst=3 prize=2",
        "main.conf:1: tariff has no 'prize'; did you mean price?",
    ),
    "an option that is missing": ("tariff t rate=1/s", "main.conf:1: tariff t requires burst=…"),
    "an include that is missing": ("include other.conf", "main.conf:1: other.conf cannot be read"),
    "an include of itself": ("include main.conf", "main.conf:1: main.conf is included more than 8 deep"),
    "two nodes of a name": (
        VALID_FILE + "stock-node s-1 127.0.0.1:7002",
        "main.conf:7: stock-node s-1 is already set at main.conf:3",
    ),
    "a site that is none": (
        VALID_FILE + "stock-node s-2 127.0.0.1:7002 site=bat-c",
        "main.conf:7: site bat-c is not one of sites (main)",
    ),
    "nothing": ("", "main.conf: listen is missing"),
    "many ingresses alone": (
        VALID_FILE + "ingresses 3",
        "main.conf:7: more than one ingress needs a counter",
    ),
    "an aim after its deadline": (
        VALID_FILE.replace("aim=400ms", "aim=2s"),
        "main.conf:4: kind stock-check: aim is later than its deadline",
    ),
    "zones with several cores": (
        VALID_FILE + "workers 2\nzone-leave on",
        "main.conf:8: zone-leave needs workers 1",
    ),
    "leases with several cores": (
        VALID_FILE + "workers 2\nleases on\ncounter 127.0.0.1:1",
        "main.conf:8: leases needs workers 1",
    ),
    "leases of nothing": (VALID_FILE + "leases on", "main.conf:7: leases need a counter"),
    "peers that cannot answer": (
        VALID_FILE + "zone-leave on\npeer 1 127.0.0.1:7100",
        "main.conf:8: peers require peer-listen",
    ),
    "itself as a peer": (
        VALID_FILE + "counter 127.0.0.1:1\ningresses 3\npeer 0 127.0.0.1:7100",
        "main.conf:9: peer 0 is not another one of 3 ingresses",
    ),
    "trade beside the platform": (
        "platform p.json\ncounter 127.0.0.1:1",
        "main.conf:2: counter is set by the platform file",
    ),
}


@pytest.mark.parametrize("case", INVALID_FILES)
def test_an_error_names_its_location_and_the_expected_value(case: str) -> None:
    text, expected = INVALID_FILES[case]
    with pytest.raises(settings_file.SettingsFileError) as error:
        parse(text)
    assert any(m.startswith(expected) for m in error.value.errors), error.value.errors


def test_peering_comes_only_from_the_settings_file() -> None:
    peer_lines = "zone-leave {}\npeer-listen 127.0.0.1:7101\npeer-secret x\n"
    for word, acts in (("on", True), ("watch", False)):
        settings = parse(VALID_FILE + peer_lines.format(word))
        config = make_config(
            {
                **settings_file.to_platform_config(settings),
                "peering": settings_file.to_peering_config(settings),
            },
            {},
        )
        assert (
            config.peering is not None
            and config.peering.acts_on_zones is acts
            and config.ingress.watches_zones
        )
        assert config.peering.listen == ("127.0.0.1", 7101) and config.peering.secret == b"x"
    assert settings_file.to_peering_config(parse(VALID_FILE + peer_lines.format("off"))) is None
    settings = parse(VALID_FILE + peer_lines.format("off") + "leases ahead\ncounter 127.0.0.1:1\n")
    config = make_config(
        {**settings_file.to_platform_config(settings), "peering": settings_file.to_peering_config(settings)},
        {},
    )
    assert config.peering is not None and config.peering.lease_mode == "ahead"
    assert config.ingress.uses_leases and not config.ingress.watches_zones
    plain = make_config(settings_file.to_platform_config(parse(VALID_FILE)), {})
    assert plain.peering is None and not plain.ingress.watches_zones


def test_an_included_file_is_read_in_place() -> None:
    settings = parse("include rest.conf\nworkers 3", rest_conf=VALID_FILE)
    assert settings.get("workers") == 3 and settings.get_all("tariff")[0].location == "rest.conf:6"


def test_effective_lines_parse_back_to_the_same_config() -> None:
    parsed = parse(VALID_FILE + "workers 3\nstall-after 1500us")
    reparsed = parse("\n".join(settings_file.effective_lines(parsed)).replace("    # default", ""))
    assert reparsed.get("stall-after") == timedelta(microseconds=1500)
    first, second = (
        json.dumps({**settings_file.to_platform_config(x), "seed": ""}, sort_keys=True)
        for x in (parsed, reparsed)
    )
    assert first == second


def test_changes_are_split_into_live_ones_and_those_after_a_restart() -> None:
    live_changes, after_restart = settings_file.changed_directives(
        parse(VALID_FILE), parse(VALID_FILE + "workers 2\ncounter 127.0.0.1:6400\nstall-after 2s")
    )
    assert (live_changes, after_restart) == (["stall-after", "counter"], ["workers"])


WORD_STRATEGY = st.one_of(
    st.sampled_from([*DIRECTIVES, "include", "rate=1/s", "127.0.0.1:1", "5ms", "#", '"', "\\", "=", "on"]),
    st.text(max_size=8),
)


@hypothesis_settings(derandomize=True, max_examples=150, deadline=None)
@given(st.lists(st.lists(WORD_STRATEGY, max_size=5), max_size=8))
def test_any_text_is_either_parsed_or_rejected_with_errors(lines: list[list[str]]) -> None:
    text = "\n".join(" ".join(line) for line in lines)
    try:
        settings = parse(text)
    except settings_file.SettingsFileError as error:
        assert error.errors and all(m.strip() for m in error.errors)
    else:
        assert settings.get("platform")  # without it, required directives are missing


def test_the_example_files_are_valid() -> None:
    make_config(FileSource(str(harness.ROOT / "deploy" / "opalgauge.conf")).read().platform_config, {})
    three_halls = make_config(
        FileSource(str(harness.ROOT / "deploy" / "three-halls.conf")).read().platform_config, {}
    )
    assert (
        three_halls.zones == ("hall-a", "hall-b", "hall-c")
        and three_halls.ingress.settings.cross_zone_price > 0
    )
    assert settings_file.parse(harness.ROOT / "deploy" / "on-platform.conf").get("workers") == 2
    with pytest.raises(ConfigError):
        FileSource(str(harness.ROOT / "deploy" / "none.conf")).read()


def test_every_directive_stands_in_the_operators_page_with_whether_a_reload_changes_it() -> None:
    page = (harness.ROOT / "docs" / "operators" / "settings.md").read_text()
    rows = {r.split("`")[1]: r.split(" | ") for r in page.splitlines() if r.startswith(("| `", "| +`"))}
    assert {n: rows[n][3] for n in rows} == {
        n: "yes" if d.reloadable else "no" for n, d in DIRECTIVES.items()
    }
    assert {n for n in rows if rows[n][0].startswith("| +")} == {
        n for n, d in DIRECTIVES.items() if d.set_by_platform
    }


def test_check_prints_all_errors_or_the_effective_settings() -> None:
    def check(text: str) -> subprocess.CompletedProcess[str]:
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "a.conf"
            path.write_text(text)
            return subprocess.run(
                [sys.executable, "-m", "opalgauge.cli.main", "check", str(path)],
                cwd=harness.ROOT, capture_output=True, text=True, timeout=120, check=False,
            )  # fmt: skip

    invalid = check("worker 4\nname\n")
    assert invalid.returncode == 1 and len(invalid.stderr.splitlines()) == 2
    valid = check(VALID_FILE)
    assert valid.returncode == 0 and "tariff negoce rate=1.5/s" in valid.stdout


def test_an_invalid_reload_does_not_end_a_running_ingress() -> None:
    async def scenario() -> None:
        async with (
            harness.stand_in(lambda r, w: harness.OK) as (node, _),
            harness.stand_in(lambda r, w: harness.OK) as (other, seen),
        ):
            with tempfile.TemporaryDirectory() as folder:
                path = Path(folder) / "a.conf"
                port = harness.free_port()
                text = VALID_FILE.replace("5000", str(port)).replace("127.0.0.1:7001", node)
                path.write_text(text + "most-units 3\nlog json\ningresses 2\ncounter 127.0.0.1:1\n")
                process = await asyncio.create_subprocess_exec(
                    sys.executable, "-m", "opalgauge.cli.main", "serve", "--settings", str(path),
                    cwd=harness.ROOT,
                    env={k: v for k, v in os.environ.items() if not k.startswith("BALANCER_")},
                    stderr=asyncio.subprocess.PIPE,
                )  # fmt: skip
                try:
                    assert process.stderr is not None
                    line = json.loads(await asyncio.wait_for(process.stderr.readline(), 60))
                    assert line["subject"] == "ready" and line["ingress"] == "opalgauge"
                    ingress = harness.Ingress(("127.0.0.1", port), process, {}, path)
                    assert (await ingress.send_request("POST", "/place-order")).startswith(b"HTTP/1.1 200")
                    path.write_text("worker 4")
                    process.send_signal(signal.SIGHUP)
                    log_line = json.loads(await asyncio.wait_for(process.stderr.readline(), 60))["line"]
                    assert "going on as before" in log_line and "unknown directive" in log_line
                    path.write_text(
                        text.replace(node, other) + "most-units 3\ningresses 2\ncounter 127.0.0.1:1\n"
                    )
                    process.send_signal(signal.SIGHUP)
                    log_line = ""
                    while "in force" not in log_line:
                        log_line = json.loads(await asyncio.wait_for(process.stderr.readline(), 60))["line"]
                    assert log_line == "reload: in force: stock-node; after a restart only: log"
                    assert (await ingress.send_request("POST", "/place-order")).startswith(b"HTTP/1.1 200")
                    assert seen.requests
                    process.terminate()
                    assert await asyncio.wait_for(process.wait(), 60) == 0
                finally:
                    if process.returncode is None:
                        process.kill()
                        await process.wait()

    asyncio.run(scenario())


def test_a_platform_start_imports_no_optional_module() -> None:
    code = "import sys, opalgauge.__main__; print(*sorted(sys.modules))"
    loaded = subprocess.run(
        [sys.executable, "-c", code],
        cwd=harness.ROOT,
        capture_output=True,
        text=True,
        check=True,
        timeout=120,
    ).stdout.split()
    optional_modules = (
        "click",
        "structlog",
        "hdrh",
        "opalgauge.cli",
        "opalgauge.cores",
        "opalgauge.lifecycle.settings_file",
    )
    assert not [m for m in loaded if m.startswith(optional_modules)]


def test_keyed_class_and_cross_site_price_reach_the_gateway_settings() -> None:
    text = VALID_FILE + "sites hall-a hall-b\nsite hall-b\ncross-site-price 0.02\n"
    text += "kind add-order repeat=keyed window=3s among=site aim=1200ms deadline=5s worth=5\n"
    config = make_config(settings_file.to_platform_config(parse(text)), {})
    keyed, never = config.ingress.settings.classes[2], config.ingress.settings.classes[1]
    assert (keyed.idempotency, keyed.dedup_scope, keyed.dedup_window) == (
        interface.Idempotency.KEYED,
        interface.DedupScope.ZONE,
        3.0,
    )
    assert (
        never.idempotency is interface.Idempotency.UNSAFE and config.ingress.settings.cross_zone_price == 0.02
    )
    assert config.ingress.settings.zone == 1 and config.request_catalog.classes["add-order"] == (2, "POST")
