"""Checks that the examples work with the current settings, rules and library."""

import os
import subprocess
import sys
from collections import Counter
from pathlib import Path

import pytest

from bulrushloom.conf.loader import SECRET_FILE_VARIABLE, load_settings
from bulrushloom.rules.parser import parse_rules, rules_warnings

ROOT = Path(__file__).parents[2]
EXAMPLES = ROOT / "examples"
INSTANCES_BY_EXAMPLE = {"blue-mahoe": 13, "registry": 14}


@pytest.fixture
def environment(tmp_path):
    secret = tmp_path / "secret"
    secret.write_text("example-secret-of-the-tests")
    return {SECRET_FILE_VARIABLE: str(secret)}


def run(*arguments):
    return subprocess.run(
        [sys.executable, *arguments],
        capture_output=True,
        text=True,
        cwd=ROOT,
        env={**os.environ, "PYTHONPATH": str(ROOT)},
        timeout=30,
    )


@pytest.mark.parametrize("example", INSTANCES_BY_EXAMPLE)
def test_rules_check_accepts_the_rules_without_warnings(example):
    path = EXAMPLES / example / "rules.txt"
    completed = run("-m", "bulrushloom", "rules", "check", str(path))
    assert completed.returncode == 0, completed.stderr
    assert "9 targets, 8 accounts, 8 keys" in completed.stdout
    assert rules_warnings(parse_rules(path.read_text(), 1)) == []


@pytest.mark.parametrize("example, count", INSTANCES_BY_EXAMPLE.items())
def test_settings_load_and_fit_the_rules(example, count, environment):
    rules = parse_rules((EXAMPLES / example / "rules.txt").read_text(), 1)
    paths = sorted((EXAMPLES / example / "settings").glob("*.yaml"))
    loaded = [load_settings(str(path), environment) for path in paths]
    assert len(loaded) == count
    assert [settings.name for settings in loaded] == [path.stem for path in paths]
    addresses = [(each.caller_address, each.peer_address) for each in loaded]
    assert len(set(sum(addresses, ()))) == 2 * count
    instance_count_by_domain = Counter(settings.domain for settings in loaded)
    assert set(instance_count_by_domain) == set(rules.domain_by_name)
    # A share holder needs a majority of its domain, so each domain has at least 3
    # instances to tolerate the failure of one.
    assert min(instance_count_by_domain.values()) >= 3


@pytest.mark.parametrize("example", INSTANCES_BY_EXAMPLE)
def test_groups_are_spread_over_domains(example):
    # A group with two servers in one domain would lose its majority with that domain.
    rules = parse_rules((EXAMPLES / example / "rules.txt").read_text(), 1)
    for targets in rules.targets_by_group.values():
        assert len({target.domain for target in targets}) == len(targets) == 3


def test_embedding_example_replaces_a_stopped_primary():
    completed = run(str(EXAMPLES / "embedding" / "failover.py"))
    assert completed.returncode == 0, completed.stderr
    assert completed.stdout.splitlines()[-1].startswith("orders-a stopped; orders-b is")
