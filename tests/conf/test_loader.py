import pytest
import yaml

from bulrushloom.conf.exceptions import SettingsError
from bulrushloom.conf.loader import SECRET_FILE_VARIABLE, load_settings

SECRET = "0123456789abcdef"
CONTENT = {
    "name": "n1",
    "domain": "lozenets",
    "caller_address": "127.0.0.1:8001",
    "peer_address": "127.0.0.1:8002",
    "store_address": "127.0.0.1:7001",
    "directory_address": "[::1]:7002",
    "fleet_secret": SECRET,
}


def load(tmp_path, environment=None, **changes):
    content = {k: v for k, v in (CONTENT | changes).items() if v is not None}
    path = tmp_path / "settings.yaml"
    path.write_text(yaml.safe_dump(content))
    return load_settings(str(path), environment or {})


def test_optional_keys_have_defaults(tmp_path):
    settings = load(tmp_path, poll_interval_ms=1000)
    assert settings.name == "n1"
    assert settings.poll_interval_ms == 1000
    assert settings.drain_timeout_ms == 25_000
    assert settings.fleet_secret == SECRET


def test_every_problem_is_reported_with_file_key_and_reason(tmp_path):
    with pytest.raises(SettingsError) as caught:
        load(
            tmp_path,
            name=None,
            peer_address="localhost:1",
            gateway_threads="four",
            colour="red",
            fleet_secret="short",
        )
    problems = sorted(caught.value.problems)
    path = tmp_path / "settings.yaml"
    assert [problem.split(": ")[:2] for problem in problems] == [
        [str(path), key]
        for key in ["colour", "fleet_secret", "gateway_threads", "name", "peer_address"]
    ]
    assert "unknown key" in problems[0]
    assert "is not IPV4:PORT" in problems[4]


@pytest.mark.parametrize("text", ["[", "- a", "", "a: \x00", "!!python/object:os {}"])
def test_file_without_a_mapping_is_refused(tmp_path, text):
    path = tmp_path / "settings.yaml"
    path.write_text(text)
    with pytest.raises(SettingsError, match="settings.yaml"):
        load_settings(str(path), {})


def test_missing_file_is_refused(tmp_path):
    with pytest.raises(SettingsError, match="No such file"):
        load_settings(str(tmp_path / "none.yaml"), {})


def test_secret_file_and_its_environment_override(tmp_path):
    first_file, second_file = tmp_path / "first", tmp_path / "second"
    first_file.write_text("1" * 20 + "\n")
    second_file.write_text("2" * 20 + "\n")
    from_file = {"fleet_secret": None, "fleet_secret_file": str(first_file)}
    assert load(tmp_path, **from_file).fleet_secret == "1" * 20
    environment = {SECRET_FILE_VARIABLE: str(second_file)}
    assert load(tmp_path, environment, **from_file).fleet_secret == "2" * 20
    assert load(tmp_path, environment).fleet_secret == "2" * 20
    with pytest.raises(SettingsError, match="fleet_secret is set as well"):
        load(tmp_path, fleet_secret_file=str(first_file))
    with pytest.raises(SettingsError, match="cannot read"):
        load(tmp_path, fleet_secret=None, fleet_secret_file=str(tmp_path / "none"))


def test_secret_never_appears_in_an_error(tmp_path):
    with pytest.raises(SettingsError) as caught:
        load(tmp_path, fleet_secret=1234567890123456789)
    assert "1234567890123456789" not in str(caught.value)
