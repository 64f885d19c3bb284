"""Our settings file: what is told of mistakes, what a good one means, and what a reload would change."""

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
from hypothesis import settings as how
from hypothesis import strategies as st

from opalgauge.lifecycle import settings as s
from opalgauge.lifecycle.config import ConfigError, make_config
from opalgauge.lifecycle.directives import DIRECTIVES
from opalgauge.lifecycle.sources import FileSource
from starlinggap import interface as i
from tests import harness

GOOD = """
listen 127.0.0.1:5000
stock-node s-1 127.0.0.1:7001
kind stock-check repeat=safe aim=400ms deadline=1200ms worth=2
kind place-order repeat=never aim=800ms deadline=3s worth=5
tariff negoce rate=90/m burst=30 price=1.6  # a comment
"""


def parse(text: str, **more: str) -> s.DaemonSettings:
    files = {"main.conf": text, **{k.replace("_", "."): v for k, v in more.items()}}

    def read(path: Path) -> str:
        if path.name not in files:
            raise FileNotFoundError(2, "No such file", str(path))
        return files[path.name]

    return s.parse(Path("main.conf"), read)


def test_a_good_file_says_all_that_serving_needs() -> None:
    config = make_config(s.as_told(parse(GOOD)), {})
    assert config.listen == ("127.0.0.1", 5000)
    assert [n.address for n in config.house.known_servers] == ["127.0.0.1:7001"]
    assert config.house.settings.plans[0].rate == pytest.approx(1.5)
    assert config.house.settings.classes[1].deadline == 3.0
    assert not config.house.settings.use_counter and not config.house.server_list_address


MISTAKES = {
    "an unknown directive": ("worker 4", "main.conf:1: unknown directive 'worker'; did you mean workers?"),
    "a number that is none": ("workers four", "main.conf:1: workers: 'four' cannot be used"),
    "no unit": ("stall-after 400", "main.conf:1: stall-after: '400' cannot be used; it takes a duration"),
    "a name for an address": ("counter redis:6379", "main.conf:1: counter: 'redis:6379' cannot be used"),
    "too many words": ("name a b", "main.conf:1: name takes 1 word(s), not 2"),
    "no word": ("name", "main.conf:1: name takes 1 word(s), not 0"),
    "said twice": ("name a\nname b", "main.conf:2: name stands already at main.conf:1; keep one"),
    "an open quote": ('name "a', "main.conf:1: no closing quotation; quotes come in pairs"),
    "an unknown option": (
        "tariff t rate=1/s burst=3 prize=2", "main.conf:1: tariff has no 'prize'; did you mean price?",
    ),
    "an option that is missing": ("tariff t rate=1/s", "main.conf:1: tariff t lacks burst=…"),
    "an include that is missing": ("include other.conf", "main.conf:1: other.conf cannot be read"),
    "an include of itself": ("include main.conf", "main.conf:1: main.conf is included more than 8 deep"),
    "two nodes of a name": (
        GOOD + "stock-node s-1 127.0.0.1:7002", "main.conf:7: stock-node s-1 stands already at main.conf:3",
    ),
    "a site that is none": (
        GOOD + "stock-node s-2 127.0.0.1:7002 site=bat-c", "main.conf:7: site bat-c is none of sites (main)",
    ),
    "nothing": ("", "main.conf: listen is missing"),
    "many ingresses alone": (GOOD + "ingresses 3", "main.conf:7: more than one ingress needs a counter"),
    "an aim after its deadline": (
        GOOD.replace("aim=400ms", "aim=2s"), "main.conf:4: kind stock-check: aim is later than its deadline",
    ),
    "zones with several cores": (
        GOOD + "workers 2\nzone-leave on", "main.conf:8: zone-leave needs workers 1",
    ),
    "leases with several cores": (
        GOOD + "workers 2\nleases on\ncounter 127.0.0.1:1", "main.conf:8: leases needs workers 1",
    ),
    "leases of nothing": (GOOD + "leases on", "main.conf:7: leases need a counter"),
    "peers that cannot answer": (
        GOOD + "zone-leave on\npeer 1 127.0.0.1:7100", "main.conf:8: peers without peer-listen",
    ),
    "itself as a peer": (
        GOOD + "counter 127.0.0.1:1\ningresses 3\npeer 0 127.0.0.1:7100",
        "main.conf:9: peer 0 is no other one of 3 ingresses",
    ),
    "trade beside the platform": (
        "platform p.json\ncounter 127.0.0.1:1", "main.conf:2: counter is told by the platform line",
    ),
}  # fmt: skip


@pytest.mark.parametrize("case", MISTAKES)
def test_a_mistake_is_told_with_its_place_and_what_would_be_right(case: str) -> None:
    text, told = MISTAKES[case]
    with pytest.raises(s.SettingsFileError) as bad:
        parse(text)
    assert any(m.startswith(told) for m in bad.value.mistakes), bad.value.mistakes


def test_only_the_settings_file_joins_an_ingress_with_others() -> None:
    more = "zone-leave {}\npeer-listen 127.0.0.1:7101\npeer-secret x\n"
    for word, acts in (("on", True), ("watch", False)):
        settings = parse(GOOD + more.format(word))
        config = make_config({**s.as_told(settings), "peering": s.peering(settings)}, {})
        assert config.peering is not None and config.peering.acts is acts and config.house.watches_zones
        assert config.peering.listen == ("127.0.0.1", 7101) and config.peering.secret == b"x"
    assert s.peering(parse(GOOD + more.format("off"))) is None
    settings = parse(GOOD + more.format("off") + "leases ahead\ncounter 127.0.0.1:1\n")
    config = make_config({**s.as_told(settings), "peering": s.peering(settings)}, {})
    assert config.peering is not None and config.peering.leases == "ahead"
    assert config.house.uses_leases and not config.house.watches_zones
    plain = make_config(s.as_told(parse(GOOD)), {})
    assert plain.peering is None and not plain.house.watches_zones


def test_an_included_file_counts_as_if_it_stood_there() -> None:
    settings = parse("include rest.conf\nworkers 3", rest_conf=GOOD)
    assert settings.get("workers") == 3 and settings.many("tariff")[0].where == "rest.conf:6"


def test_what_check_prints_means_the_same_when_it_is_read_again() -> None:
    first = parse(GOOD + "workers 3\nstall-after 1500us")
    again = parse("\n".join(s.shown(first)).replace("    # default", ""))
    assert again.get("stall-after") == timedelta(microseconds=1500)
    told, told_again = (json.dumps({**s.as_told(x), "seed": ""}, sort_keys=True) for x in (first, again))
    assert told == told_again


def test_a_reload_says_what_holds_now_and_what_waits_for_a_restart() -> None:
    live, later = s.changes(parse(GOOD), parse(GOOD + "workers 2\ncounter 127.0.0.1:6400\nstall-after 2s"))
    assert (live, later) == (["stall-after", "counter"], ["workers"])


WORDS = st.one_of(
    st.sampled_from([*DIRECTIVES, "include", "rate=1/s", "127.0.0.1:1", "5ms", "#", '"', "\\", "=", "on"]),
    st.text(max_size=8),
)


@how(derandomize=True, max_examples=150, deadline=None)
@given(st.lists(st.lists(WORDS, max_size=5), max_size=8))
def test_whatever_stands_in_a_file_it_is_read_or_its_mistakes_are_told(lines: list[list[str]]) -> None:
    text = "\n".join(" ".join(line) for line in lines)
    try:
        settings = parse(text)
    except s.SettingsFileError as bad:
        assert bad.mistakes and all(m.strip() for m in bad.mistakes)
    else:
        assert settings.get("platform")  # all else that is needed is missing from these lines


def test_the_examples_under_deploy_can_be_used() -> None:
    make_config(FileSource(str(harness.ROOT / "deploy" / "opalgauge.conf")).read().told, {})
    halls = make_config(FileSource(str(harness.ROOT / "deploy" / "three-halls.conf")).read().told, {})
    assert halls.zones == ("hall-a", "hall-b", "hall-c") and halls.house.settings.cross_zone_price > 0
    assert s.parse(harness.ROOT / "deploy" / "on-platform.conf").get("workers") == 2
    with pytest.raises(ConfigError):
        FileSource(str(harness.ROOT / "deploy" / "none.conf")).read()


def test_every_directive_stands_in_the_operators_page_with_whether_a_reload_changes_it() -> None:
    page = (harness.ROOT / "docs" / "operators" / "settings.md").read_text()
    rows = {r.split("`")[1]: r.split(" | ") for r in page.splitlines() if r.startswith(("| `", "| +`"))}
    assert {n: rows[n][3] for n in rows} == {n: "yes" if d.live else "no" for n, d in DIRECTIVES.items()}
    assert {n for n in rows if rows[n][0].startswith("| +")} == {n for n, d in DIRECTIVES.items() if d.trade}


def test_check_tells_every_mistake_and_prints_what_would_hold() -> None:
    def check(text: str) -> subprocess.CompletedProcess[str]:
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "a.conf"
            path.write_text(text)
            return subprocess.run(
                [sys.executable, "-m", "opalgauge.cli.main", "check", str(path)],
                cwd=harness.ROOT, capture_output=True, text=True, timeout=120, check=False,
            )  # fmt: skip

    bad = check("worker 4\nname\n")
    assert bad.returncode == 1 and len(bad.stderr.splitlines()) == 2
    good = check(GOOD)
    assert good.returncode == 0 and "tariff negoce rate=1.5/s" in good.stdout


def test_the_file_alone_serves_and_a_bad_one_never_ends_a_running_daemon() -> None:
    async def scene() -> None:
        async with (
            harness.stand_in(lambda r, w: harness.OK) as (node, _),
            harness.stand_in(lambda r, w: harness.OK) as (other, seen),
        ):
            with tempfile.TemporaryDirectory() as folder:
                path = Path(folder) / "a.conf"
                port = harness.free_port()
                text = GOOD.replace("5000", str(port)).replace("127.0.0.1:7001", node)
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
                    told = json.loads(await asyncio.wait_for(process.stderr.readline(), 60))["line"]
                    assert "going on as before" in told and "unknown directive" in told
                    path.write_text(
                        text.replace(node, other) + "most-units 3\ningresses 2\ncounter 127.0.0.1:1\n"
                    )
                    process.send_signal(signal.SIGHUP)
                    told = ""
                    while "in force" not in told:
                        told = json.loads(await asyncio.wait_for(process.stderr.readline(), 60))["line"]
                    assert told == "reload: in force: stock-node; after a restart only: log"
                    assert (await ingress.send_request("POST", "/place-order")).startswith(b"HTTP/1.1 200")
                    assert seen.requests
                    process.terminate()
                    assert await asyncio.wait_for(process.wait(), 60) == 0
                finally:
                    if process.returncode is None:
                        process.kill()
                        await process.wait()

    asyncio.run(scene())


def test_serving_for_the_platform_loads_nothing_that_it_does_not_need() -> None:
    code = "import sys, opalgauge.__main__; print(*sorted(sys.modules))"
    loaded = subprocess.run(
        [sys.executable, "-c", code],
        cwd=harness.ROOT,
        capture_output=True,
        text=True,
        check=True,
        timeout=120,
    ).stdout.split()
    heavy = ("click", "structlog", "hdrh", "opalgauge.cli", "opalgauge.cores", "opalgauge.lifecycle.settings")
    assert not [m for m in loaded if m.startswith(heavy)]


def test_a_keyed_kind_and_a_price_for_crossing_sites_reach_the_decisions() -> None:
    text = GOOD + "sites hall-a hall-b\nsite hall-b\ncross-site-price 0.02\n"
    text += "kind add-order repeat=keyed window=3s among=site aim=1200ms deadline=5s worth=5\n"
    config = make_config(s.as_told(parse(text)), {})
    keyed, never = config.house.settings.classes[2], config.house.settings.classes[1]
    assert (keyed.idempotency, keyed.dedup_scope, keyed.dedup_window) == (
        i.Idempotency.KEYED,
        i.DedupScope.ZONE,
        3.0,
    )
    assert never.idempotency is i.Idempotency.UNSAFE and config.house.settings.cross_zone_price == 0.02
    assert config.house.settings.zone == 1 and config.trade.kinds["add-order"] == (2, "POST")
