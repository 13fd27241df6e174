"""What the log tells of statements whose permit ended."""

from bulrushloom.proxy.configuration import Consistency
from tests.proxy.builders import SERVICE, build_route
from tests.proxy.change_builders import (
    HOTEL,
    MOVED,
    OTHER_SERVICE,
    SHOP,
    WITHDRAWN,
    answer,
    configure,
    open_session,
    send_without_primary,
    send_without_token,
)


def test_log_tells_the_version_of_arrival_of_a_moved_key(instance):
    # Guards against a log line that hides that the statement waited (hypothesis H1).
    written = []
    instance.services.log.write = lambda event, **fields: written.append(
        (event, fields)
    )
    client = open_session(instance)
    arrival = instance.services.configuration.version
    announce = send_without_primary(client, "WRITE 1 data")
    configure(instance, **MOVED)
    announce()
    assert answer(client)[0].startswith("DONE signed-")
    served = [
        f for e, f in written if e == "statement_attempt" and f["outcome"] == "served"
    ]
    assert served[-1]["admitted_configuration"] == arrival, served[-1]


def test_log_has_a_line_for_a_begin_whose_permit_ended(instance):
    written = []
    instance.services.log.write = lambda event, **fields: written.append(
        (event, fields)
    )
    client = open_session(instance)
    client.query("BEGIN")
    announce = send_without_primary(client, "WRITE 1 data")
    configure(instance, **WITHDRAWN)
    announce()
    assert answer(client)[0].startswith("ERR NOAUTH")
    assert [e for e, _ in written if e == "statement_attempt"], written


def test_log_tells_the_wait_and_the_version_of_arrival_of_a_moved_route(instance):
    # Guards against a log line that hides that the statement waited (hypothesis H1).
    instance.add_group(OTHER_SERVICE, ("d", "e", "f"))
    written = []
    instance.services.log.write = lambda event, **fields: written.append(
        (event, fields)
    )
    client = open_session(instance)
    arrival = instance.services.configuration.version
    announce = send_without_primary(client, "WRITE 1 data")
    route = build_route("strict", Consistency.PRIMARY, service=OTHER_SERVICE)
    service = instance.services.configuration.service_by_name[SERVICE]
    services = {SERVICE: service, OTHER_SERVICE: service._replace(name=OTHER_SERVICE)}
    configure(instance, routes=(route,), service_by_name=services)
    announce()
    assert answer(client)[0].startswith("DONE signed-")
    served = [
        f for e, f in written if e == "statement_attempt" and f["outcome"] == "served"
    ]
    assert served[-1]["admitted_configuration"] == arrival, served[-1]
    assert served[-1]["configuration"] == arrival + 1, served[-1]


def test_log_tells_the_version_of_arrival_of_an_operation_that_waited(instance):
    written = []
    instance.services.log.write = lambda event, **fields: written.append(
        (event, fields)
    )
    client = open_session(instance)
    arrival = instance.services.configuration.version
    send_without_token(client, "READ 1")
    configure(instance, accounts={"key-1": HOTEL, "key-2": SHOP})
    answer(client)
    (fields,) = [f for e, f in written if e == "statement_attempt"]
    assert fields["admitted_configuration"] == arrival, fields


def test_log_has_a_line_for_a_write_whose_permit_ended(instance):
    written = []
    instance.services.log.write = lambda event, **fields: written.append(
        (event, fields)
    )
    client = open_session(instance)
    announce = send_without_primary(client, "WRITE 1 data")
    configure(instance, **WITHDRAWN)
    announce()
    assert answer(client)[0].startswith("ERR NOAUTH")
    assert [f["outcome"] for e, f in written if e == "statement_attempt"]
