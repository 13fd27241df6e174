import pytest

from tests.standins.builders import Group


@pytest.fixture
def group():
    group = Group()
    yield group
    group.close()
