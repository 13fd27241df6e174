from datetime import timedelta

import pytest

from bulrushloom.directories.exceptions import DirectoryUnavailable
from bulrushloom.directories.http import HttpInstanceDirectory
from tests.core.builders import http_response, scripted_server


@pytest.mark.parametrize(
    "status, body",
    [(200, b"{}"), (200, b'{"instances":[{"name":"one"}]}'), (500, b"{}"), (200, b"")],
)
def test_invalid_response_raises_directory_unavailable(status, body):
    with scripted_server(http_response(status, body)) as address:
        directory = HttpInstanceDirectory(address, "one/lyulin", timedelta(seconds=2))
        with pytest.raises(DirectoryUnavailable):
            directory.instances()
