import time

import pytest

from bulrushloom.directories.base import InstanceEntry
from bulrushloom.directories.exceptions import DirectoryRefused, DirectoryUnavailable
from bulrushloom.directories.http import HttpInstanceDirectory
from standins.directory.app import DirectoryStandin
from tests.standins.builders import CALL_TIMEOUT, running_standin, send_raw, set_faults

ONE = InstanceEntry("one", "lyulin", "127.0.0.1:7001", "i1", False)
TWO = InstanceEntry("two", "mladost", "127.0.0.1:7002", "i1", False)


@pytest.fixture
def address():
    with running_standin(DirectoryStandin()) as address:
        yield address


@pytest.fixture
def directory(address):
    directory = HttpInstanceDirectory(address, "one/lyulin", CALL_TIMEOUT)
    yield directory
    directory.close()


def test_registered_instances_are_listed_by_name(directory):
    directory.register(TWO)
    directory.register(ONE)
    assert directory.instances() == [ONE, TWO]
    directory.register(ONE._replace(leaving=True))
    assert directory.instances() == [ONE._replace(leaving=True), TWO]


def test_old_incarnation_cannot_remove_the_new_one(directory):
    directory.register(ONE)
    directory.register(ONE._replace(incarnation="i2"))
    directory.deregister("one", "i1")
    assert directory.instances() == [ONE._replace(incarnation="i2")]
    directory.deregister("one", "i2")
    assert directory.instances() == []


def test_list_lags_behind(address, directory):
    directory.register(ONE)
    time.sleep(0.3)
    directory.deregister("one", "i1")
    directory.register(TWO)
    set_faults(address, lag_ms=250)
    assert directory.instances() == [ONE]
    set_faults(address, lag_ms=0)
    assert directory.instances() == [TWO]


def test_entry_expires_unless_renewed(address, directory):
    set_faults(address, ttl_ms=200)
    directory.register(ONE)
    directory.register(TWO)
    time.sleep(0.12)
    directory.register(ONE)
    time.sleep(0.12)
    assert directory.instances() == [ONE]


def test_failures_raise_the_exceptions_of_the_package(address, directory):
    set_faults(address, lose_answers=1)
    with pytest.raises(DirectoryUnavailable):
        directory.register(ONE)
    assert directory.instances() == [ONE]
    with pytest.raises(DirectoryRefused, match="domain"):
        directory.register(ONE._replace(domain=""))
    set_faults(address, outage=True)
    with pytest.raises(DirectoryUnavailable):
        directory.instances()


@pytest.mark.parametrize(
    "path, body, reason",
    [
        ("/register", b"{}", "name"),
        ("/register", b"7", "body"),
        ("/deregister", b'{"name":"one"}', "incarnation"),
        ("/faults", b'{"lag_ms":-1}', "lag_ms"),
    ],
)
def test_bad_input_is_refused_with_the_reason(address, path, body, reason):
    response = send_raw(address, path, body)
    assert response.status == 400
    assert reason in response.json()["error"]
