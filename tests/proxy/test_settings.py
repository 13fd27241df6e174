"""Settings of the session proxy: validation at startup, unknown keys ignored."""

import json
from pathlib import Path

import pytest
import yaml

from bulrushloom.conf.exceptions import SettingsError
from bulrushloom.proxy.settings import load_proxy_settings, parse_proxy_settings

VALID = {
    "name": "north-1",
    "domain": "north",
    "session_address": "10.1.0.2:8465",
    "probe_address": "10.1.0.2:8460",
    "peer_address": "10.1.0.2:7560",
    "metrics_address": "10.1.0.2:7561",
    "store_address": "10.200.1.7:8466",
    "duties_address": "10.200.0.2:8466",
    "withdrawn_key_bound_ms": 5000,
    "configuration_bound_ms": 3000,
    "target_drain_bound_ms": 7000,
    "stop_grace_s": 6,
    "rate_window_s": 5,
    "rate_excess": 0.1,
    "rate_slack": 20,
    "lease_minimum_ms": 1000,
}


def parse(**changes):
    return parse_proxy_settings(yaml.safe_dump(VALID | changes).encode(), "s.yaml")


def test_valid_settings_are_read_and_unknown_keys_ignored():
    settings = parse(something_new={"a": 1})
    assert settings.domain == "north"
    assert settings.withdrawn_key_bound.total_seconds() == 5


@pytest.mark.parametrize(
    "changes",
    [
        {"name": ""},
        {"name": 7},
        {"session_address": "10.1.0.2"},
        {"store_address": None},
        {"stop_grace_s": -1},
        {"rate_excess": "much"},
        {"rate_slack": True},
    ],
)
def test_error_for_an_invalid_value_names_its_key(changes):
    with pytest.raises(SettingsError) as caught:
        parse(**changes)
    assert next(iter(changes)) in str(caught.value.problems)


def test_all_problems_are_reported_together(tmp_path):
    with pytest.raises(SettingsError) as caught:
        parse_proxy_settings(b"name: x\n", "s.yaml")
    assert len(caught.value.problems) == len(VALID) - 1


@pytest.mark.parametrize("data", [b"", b"- 1", b"a: [", b"\xff\xfe", b"x" * 70_000])
def test_invalid_file_is_an_error(data, tmp_path):
    path = tmp_path / "s.yaml"
    path.write_bytes(data)
    with pytest.raises(SettingsError):
        load_proxy_settings(str(path))


def test_missing_file_is_an_error():
    with pytest.raises(SettingsError):
        load_proxy_settings("missing.yaml")


OPTIONAL = {
    "region": "coast",
    "region_by_domain": {"north": "coast", "east": "hills"},
    "evacuation_bound_ms": 4000,
    "cold_excess": 2,
    "cold_slack": 7,
    "memory_limit_mb": 152,
    "descriptor_limit": 1605,
}


def test_optional_settings_are_read():
    settings = parse(**OPTIONAL)
    assert settings.region == "coast"
    assert settings.region_by_domain == {"north": "coast", "east": "hills"}
    assert settings.evacuation_bound.total_seconds() == 4
    assert (settings.cold_excess, settings.cold_slack) == (2, 7)
    assert (settings.memory_limit_mb, settings.descriptor_limit) == (152, 1605)


def test_settings_without_values_for_the_optional_keys_load():
    # Guards against an instance that does not start in an older deployment: a file of
    # an earlier release lacks the keys, and unfilled placeholders leave them empty.
    unfilled = yaml.safe_dump(VALID) + "".join(f"{key}: \n" for key in OPTIONAL)
    assert parse_proxy_settings(unfilled.encode(), "s.yaml") == parse()
    assert parse().region_by_domain == {}
    assert parse().evacuation_bound is None
    assert parse().memory_limit_mb is None


@pytest.mark.parametrize("has_optional", [False, True])
def test_template_of_the_deployment_is_valid(has_optional):
    # Guards against a placeholder that leaves no valid settings when it is not filled.
    values = VALID | (OPTIONAL if has_optional else {})
    lines = []
    for line in Path("deploy/settings.yaml").read_text().splitlines():
        key = line.partition(":")[0]
        lines.append(f"{key}: {json.dumps(values[key]) if key in values else ''}")
    data = "\n".join(lines).encode()
    expected = parse(**values)
    assert parse_proxy_settings(data, "s.yaml") == expected


@pytest.mark.parametrize(
    "changes",
    [
        {"region_by_domain": ["north"]},
        {"region_by_domain": {"north": 3}},
        {"evacuation_bound_ms": "soon"},
        {"memory_limit_mb": 0},
        {"descriptor_limit": 10.5},
    ],
)
def test_error_for_an_invalid_optional_value_names_its_key(changes):
    with pytest.raises(SettingsError) as caught:
        parse(**changes)
    assert next(iter(changes)) in str(caught.value.problems)


def test_limits_of_the_machine_are_optional():
    # Guards against a deployment whose platform does not name them (YAML null).
    settings = parse(memory_limit_mb=None)
    assert (settings.memory_limit_mb, settings.descriptor_limit) == (None, None)
    settings = parse(memory_limit_mb=152, descriptor_limit=1605)
    assert (settings.memory_limit_mb, settings.descriptor_limit) == (152, 1605)


@pytest.mark.parametrize("value", [0, -1, "many", float("inf"), float("nan")])
@pytest.mark.parametrize("key", ["memory_limit_mb", "descriptor_limit"])
def test_error_for_an_impossible_limit_of_the_machine(key, value):
    with pytest.raises(SettingsError, match=key):
        parse(**{key: value})
